import type {Dialect} from '../dialect.js';

/** Takes each answer for that of the endpoint to the request. */
export const ANY_ANSWER_DIALECT = {
  endpointAnswer: () => ({
    attemptId: undefined,
    isNotRun: false,
    closesConnection: false,
    hasProof: true,
    statement: {
      requestsPerSecond: undefined,
      keepsLimit: false,
      refusalsPerSecond: undefined,
      keepsBrittleness: false,
      coldMilliseconds: undefined,
      isLeaving: false,
      restMilliseconds: undefined,
      ignoredHeaders: [],
    },
  }),
} as unknown as Dialect;
