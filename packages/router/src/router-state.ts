import {Inspectable, type JsonValue} from '@wisteriadeal/runtime';
import type {ProcessIdentity} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import type {AnswerStore} from './answer-store.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {HolderClient} from './holder-client.js';
import type {KeeperDirectory} from './keeper-directory.js';
import type {LoadDispatcher} from './load-dispatcher.js';

/** The components whose state is reported. */
export interface StateSources {
  readonly identity: () => ProcessIdentity;
  readonly draining: () => boolean;
  readonly keepers: KeeperDirectory;
  readonly holderClient: HolderClient;
  readonly dispatcher: LoadDispatcher;
  readonly endpoints: EndpointDirectory;
  readonly store: AnswerStore;
}

function describeAnswer(answer: Answer): JsonValue {
  const {end} = answer;
  return {
    requestId: answer.options.requestId,
    organisation: answer.options.organisation,
    states: [...answer.history],
    readers: answer.readerCount,
    events: answer.events.length,
    bytes: answer.bytes,
    ended: end !== undefined,
    problem:
      end !== undefined && 'problem' in end
        ? JSON.stringify(end.problem)
        : null,
  };
}

/** Serves the inspection queries of operators; omits prompts and answer text. */
export class RouterState extends Inspectable {
  constructor(private readonly sources: StateSources) {
    super();
  }

  override dumpState(maximumItems: number): JsonValue {
    const {
      identity,
      draining,
      keepers,
      holderClient,
      dispatcher,
      endpoints,
      store,
    } = this.sources;
    const {incarnation, dataCenter} = identity();
    return {
      incarnation,
      dataCenter,
      draining: draining(),
      configurationVersion: keepers.configuration?.version ?? 0,
      keepers: keepers
        .openSessions()
        .flatMap(session => session.keeper?.incarnation ?? [])
        .slice(0, maximumItems),
      queued: dispatcher.queued,
      running: store.running,
      unsettled: holderClient.openSettlements,
      keptBytes: store.bytes,
      endpoints: endpoints
        .summary()
        .slice(0, maximumItems)
        .map(({endpoint, leaving}) => ({endpoint, leaving})),
      requests: store
        .answers()
        .filter(answer => answer.end === undefined)
        .slice(0, maximumItems)
        .map(describeAnswer),
    };
  }

  override explainRequest(requestId: string): JsonValue | undefined {
    const answer = this.sources.store.find(requestId);
    return answer === undefined ? undefined : describeAnswer(answer);
  }

  override explainBudget(organisation: string): JsonValue | undefined {
    const holder = this.sources.keepers.holderOf(organisation);
    return holder === undefined
      ? undefined
      : {holder: holder.keeper?.incarnation ?? '', address: holder.address};
  }
}
