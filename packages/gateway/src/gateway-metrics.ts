import type {AdmissionVerdict, PartSource} from '@wisteriadeal/decisions';
import type {HostShortage} from '@wisteriadeal/platform';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import type {RoomMeasure} from './caller-connections.js';
import type {ConnectResult} from './connect-result.js';
import type {ContinuationEvent} from './continuation/continuation-event.js';
import type {LoanResult} from './loan-observer.js';
import type {RequestRecord} from './request-record.js';
import type {SuspectEvent} from './crashes/index.js';
import type {EvacuationEvent} from './evacuation/index.js';
import type {InputBreach} from './input-limits/index.js';
import type {TakeUp} from './stream-origins/take-up.js';
import type {TunnelStatus} from './tunnel-protocol.js';

/**
 * Buckets of request durations in seconds, from a plain call of a few
 * milliseconds to a long stream.
 */
const DURATION_BUCKETS = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/**
 * Buckets of event loop times in seconds, from a turn of an idle loop to one
 * long enough to miss every latency objective.
 */
const LOOP_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1];

/** Prometheus metrics of a gateway. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'wisteriadeal_requests_total',
    help: 'Requests ended, by outcome and status.',
    labelNames: ['outcome', 'status'],
    registers: [this.registry],
  });
  private readonly durations = new Histogram({
    name: 'wisteriadeal_request_seconds',
    help: 'Time from the arrival of the headers to the end of the request, by outcome.',
    labelNames: ['outcome'],
    buckets: DURATION_BUCKETS,
    registers: [this.registry],
  });
  private readonly resends = new Counter({
    name: 'wisteriadeal_resends_total',
    help: 'Attempts of requests after the first one.',
    registers: [this.registry],
  });
  private readonly answers = new Counter({
    name: 'wisteriadeal_endpoint_answers_total',
    help: 'Answers of endpoints whose body was read, by framing and how the body ended.',
    labelNames: ['framing', 'end'],
    registers: [this.registry],
  });
  private readonly endpointRefusals = new Counter({
    name: 'wisteriadeal_endpoint_refusals_total',
    help: 'Requests that endpoints refused as not run, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly turns = new Histogram({
    name: 'wisteriadeal_loop_turn_seconds',
    help: 'Busy time of an event loop turn between two polls of the sockets.',
    buckets: LOOP_BUCKETS,
    registers: [this.registry],
  });
  private readonly unseen = new Histogram({
    name: 'wisteriadeal_unseen_wait_seconds',
    help: 'Estimated time that requests waited in the sockets before they were read.',
    buckets: LOOP_BUCKETS,
    registers: [this.registry],
  });
  private readonly accepted = new Counter({
    name: 'wisteriadeal_caller_connections_total',
    help: 'Connections of callers that were accepted.',
    registers: [this.registry],
  });
  private readonly withoutRoom = new Counter({
    name: 'wisteriadeal_callers_without_room_total',
    help: 'Connections of callers that were closed for want of descriptors, by whether an idle one was closed for a new one or the new one refused.',
    labelNames: ['measure'],
    registers: [this.registry],
  });
  private readonly leftUnserved = new Counter({
    name: 'wisteriadeal_callers_left_unserved_total',
    help: 'Callers that disconnected before their request was sent to an endpoint.',
    registers: [this.registry],
  });
  private readonly connects = new Counter({
    name: 'wisteriadeal_endpoint_connects_total',
    help: 'Connects to endpoints, by service and result.',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });
  private readonly tunnels = new Counter({
    name: 'wisteriadeal_tunnels_total',
    help: 'Tunnels to endpoints that other hosts requested, by answer.',
    labelNames: ['answer'],
    registers: [this.registry],
  });
  private readonly suspectEvents = new Counter({
    name: 'wisteriadeal_crash_suspects_total',
    help: 'Crashes of endpoints while they began to run requests, and what followed for these.',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly streamsTakenUp = new Counter({
    name: 'wisteriadeal_streams_taken_up_total',
    help: 'Streams that their callers took up, by result.',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly evacuationRecords = new Counter({
    name: 'wisteriadeal_evacuation_records_total',
    help: "Operator's records on evacuations of data centres, by what they did.",
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly ignoredEntries = new Counter({
    name: 'wisteriadeal_endpoint_entries_with_ignored_fields_total',
    help: 'Entries of the endpoint list some of whose fields had no valid value.',
    registers: [this.registry],
  });
  private readonly coldRequests = new Counter({
    name: 'wisteriadeal_cold_endpoint_requests_total',
    help: 'Requests that were sent to endpoints that may have been cold.',
    registers: [this.registry],
  });
  private readonly rotationChanges = new Counter({
    name: 'wisteriadeal_rotation_changes_total',
    help: "Changes of the host's rotation state, by the new state.",
    labelNames: ['to'],
    registers: [this.registry],
  });
  private readonly admissions = new Counter({
    name: 'wisteriadeal_engine_admissions_total',
    help: 'Requests to engines by priority and verdict, and whether they were queued; those that left the queue have the verdict queue.',
    labelNames: ['verdict', 'priority', 'queued'],
    registers: [this.registry],
  });
  private readonly inputsEnded = new Counter({
    name: 'wisteriadeal_endpoint_input_limits_total',
    help: 'Connections to endpoints that were closed because a limit of their input was exceeded, by limit.',
    labelNames: ['limit'],
    registers: [this.registry],
  });
  private readonly readsDeferred = new Counter({
    name: 'wisteriadeal_endpoint_reads_deferred_total',
    help: 'Parts of endpoint answers that were left for a later turn of the event loop.',
    registers: [this.registry],
  });
  private readonly closed = new Counter({
    name: 'wisteriadeal_caller_connections_closed_total',
    help: 'Answers that closed their connections while the host was out of rotation.',
    registers: [this.registry],
  });
  private readonly continuations = new Counter({
    name: 'wisteriadeal_run_copies_total',
    help: 'Copies of runs at second endpoints, by what happened to them.',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly copiedBytes = new Counter({
    name: 'wisteriadeal_run_copy_bytes_total',
    help: 'Bytes that copies of runs took, by the tokens of the runs.',
    registers: [this.registry],
  });
  private readonly sharedTokens = new Counter({
    name: 'wisteriadeal_shared_prompt_tokens_total',
    help: 'Tokens of long shared prompt parts, by where their endpoint gets them: home, fetched, read.',
    labelNames: ['source'],
    registers: [this.registry],
  });
  private readonly loanRequests = new Counter({
    name: 'wisteriadeal_loan_requests_total',
    help: 'Requests to other hosts for a loan of tokens, by result.',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly refusalsWithoutLoan = new Counter({
    name: 'wisteriadeal_refusals_without_loan_total',
    help: 'Requests refused for budget at once, as other hosts had nothing left to lend.',
    registers: [this.registry],
  });
  private readonly states = new Gauge({
    name: 'wisteriadeal_state',
    help: 'State of the process, one sample per name.',
    labelNames: ['name'],
    registers: [this.registry],
  });

  /** Counts a request that has ended. */
  requestEnded(record: RequestRecord, durationMilliseconds: number): void {
    const outcome = record.outcome;
    this.requests.inc({outcome, status: String(record.status)});
    this.durations.observe({outcome}, durationMilliseconds / 1_000);
    this.resends.inc(Math.max(0, record.attempts.length - 1));
    for (const {answer} of record.attempts) {
      if (answer !== undefined) {
        this.answers.inc({framing: answer.framing, end: answer.bodyEnd});
      }
    }
  }

  /**
   * Records the duration of an event loop turn between two polls of the
   * sockets.
   */
  observeLoopTurn(milliseconds: number): void {
    this.turns.observe(milliseconds / 1_000);
  }

  /** Records the estimated time that a request waited before it was read. */
  observeUnreadWait(unseenMilliseconds: number): void {
    this.unseen.observe(unseenMilliseconds / 1_000);
  }

  /** Counts an accepted connection of a caller. */
  callerConnected(): void {
    this.accepted.inc();
  }

  /** Counts a caller's connection that was closed for want of descriptors. */
  callerWithoutRoom(measure: RoomMeasure): void {
    this.withoutRoom.inc({measure});
  }

  /** Counts a caller that left before its request was served. */
  callerLeftUnserved(): void {
    this.leftUnserved.inc();
  }

  /** Counts a connect to an endpoint. */
  connectEnded(service: string, result: ConnectResult | HostShortage): void {
    this.connects.inc({service, result});
  }

  /** Counts a tunnel that another host requested. */
  tunnelAnswered(status: TunnelStatus): void {
    this.tunnels.inc({answer: String(status)});
  }

  /** Counts what happened to a request that may crash endpoints. */
  suspectEvent(event: SuspectEvent): void {
    this.suspectEvents.inc({event});
  }

  /** Counts a stream that its caller took up. */
  streamTakenUp(result: TakeUp): void {
    this.streamsTakenUp.inc({result});
  }

  /** Counts a record on the evacuation of a data centre. */
  evacuationRecordRead(event: EvacuationEvent): void {
    this.evacuationRecords.inc({event});
  }

  /** Counts an entry of the endpoint list with fields that were ignored. */
  endpointFieldsIgnored(): void {
    this.ignoredEntries.inc();
  }

  /** Counts a request that was sent to an endpoint that may be cold. */
  coldRequestSent(): void {
    this.coldRequests.inc();
  }

  /** Counts a request that an endpoint refused as not run. */
  endpointRefused(service: string): void {
    this.endpointRefusals.inc({service});
  }

  /** Counts a connection whose endpoint's input exceeded a limit. */
  inputEnded(limit: InputBreach): void {
    this.inputsEnded.inc({limit});
  }

  /** Counts a part of an answer that is left for a later turn of the event loop. */
  readDeferred(): void {
    this.readsDeferred.inc();
  }

  /** Counts an answer that closes its connection. */
  callerClosed(): void {
    this.closed.inc();
  }

  /** Counts a change of the rotation state. */
  rotationChanged(to: string): void {
    this.rotationChanges.inc({to});
  }

  /** Counts a request to an engine that was admitted, refused, or left the queue. */
  admissionDecided(
    verdict: AdmissionVerdict,
    priority: number,
    wasQueued: boolean,
  ): void {
    this.admissions.inc({
      verdict,
      priority: String(priority),
      queued: String(wasQueued),
    });
  }

  /** Counts what happened to a copy of a run. */
  continuationEvent(event: ContinuationEvent): void {
    this.continuations.inc({event});
  }

  /** Counts the bytes of a copy of a run that has ended. */
  runCopied(bytes: number): void {
    this.copiedBytes.inc(bytes);
  }

  /** Counts the tokens of the shared parts of a request that was sent. */
  sharedPartsPlaced(source: PartSource, tokens: number): void {
    this.sharedTokens.inc({source}, tokens);
  }

  /** Counts a request to another host for a loan. */
  loanEnded(result: LoanResult): void {
    this.loanRequests.inc({result});
  }

  /** Counts a request that was refused without asking for a loan. */
  refusedWithoutLoan(): void {
    this.refusalsWithoutLoan.inc();
  }

  /** Sets the gauge of one value of the process's state. */
  setState(name: string, value: number): void {
    this.states.set({name}, value);
  }

  /** All metrics in the Prometheus text format, and its content type. */
  async text(): Promise<{readonly type: string; readonly body: string}> {
    return {
      type: this.registry.contentType,
      body: await this.registry.metrics(),
    };
  }
}
