import {
  AnswerEstimate,
  ResendBudget,
  type ResendLimits,
} from '@wisteriadeal/decisions';

/** This host's statistics of one service's requests. */
export interface ServiceState {
  readonly resends: ResendBudget;
  /** Time to the first event of streams. */
  readonly firstEventLatency: AnswerEstimate;
  /** Time to buffered answers. */
  readonly bufferedAnswerLatency: AnswerEstimate;
}

/** States of all services that received requests. */
export class ServiceStates {
  private readonly states = new Map<string, ServiceState>();

  constructor(private limits: ResendLimits) {}

  /** Returns the state of a service; creates it if there is none yet. */
  stateOf(service: string): ServiceState {
    let state = this.states.get(service);
    if (state === undefined) {
      state = {
        resends: new ResendBudget(this.limits),
        firstEventLatency: new AnswerEstimate(),
        bufferedAnswerLatency: new AnswerEstimate(),
      };
      this.states.set(service, state);
    }
    return state;
  }

  /** Replaces the limits on resends; past resends count on. */
  setResendLimits(limits: ResendLimits): void {
    this.limits = limits;
    for (const {resends} of this.states.values()) {
      resends.setLimits(limits);
    }
  }
}
