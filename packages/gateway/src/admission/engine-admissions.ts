import {
  AdmissionVerdict,
  ReturningCallers,
  ShareAdmission,
  type AdmissionDecision,
  type AdmissionRequest,
  type EngineAdmission,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import type {FleetConfiguration} from '../configuration.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import {
  LocalReplyReason,
  notExecutedReply,
  STOPPING_REPLY,
  type LocalReply,
} from '../local-reply.js';
import type {RequestContext} from '../request-context.js';
import {requestPriority} from '../request-priority.js';
import type {RequestRecord} from '../request-record.js';
import {AdmissionScope} from './admission-scope.js';
import {AttemptObservation} from './attempt-observation.js';

/** Dependencies of `EngineAdmissions`. */
export interface EngineAdmissionsParts {
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  /** The configuration in force. */
  configuration(): FleetConfiguration | undefined;
  /** Random number from 0 to below 1. */
  fraction(): number;
}

/** A queued request; called with its decision, or undefined once it has left. */
type QueuedRequests = Map<
  AdmissionRequest,
  (decision: AdmissionDecision | undefined) => void
>;

/** How often queued requests are reconsidered, milliseconds. */
const QUEUE_POLL_MILLISECONDS = 20;

/**
 * Admits requests to model engines before their first attempt. State is kept for each
 * service by this host, from its own requests.
 */
export class EngineAdmissions {
  private readonly admissions = new Map<
    string,
    EngineAdmission<AdmissionRequest>
  >();
  private readonly returning = new ReturningCallers();
  private readonly queued: QueuedRequests = new Map();
  private scoped: FleetConfiguration | undefined;
  private scope: AdmissionScope | undefined;
  private isPolling = false;
  private isStopping = false;

  constructor(private readonly parts: EngineAdmissionsParts) {}

  /**
   * Decides on a request, which may take up to a part of its objective.
   *
   * @param leaves Aborted when the request has to leave the queue at once.
   * @returns The reply to a refused request; undefined if it is sent or has left.
   */
  async admit(
    context: RequestContext,
    record: RequestRecord,
    leaves: AbortSignal,
  ): Promise<LocalReply | undefined> {
    const request = this.requestOf(context);
    if (request === undefined) {
      return undefined;
    }
    const startedAt = this.now();
    const admission = this.admissionOf(context.service.name);
    const first = admission.offer(request, startedAt);
    const isQueued = first.verdict === AdmissionVerdict.Queue;
    const decision = isQueued
      ? await this.queue(admission, request, leaves)
      : first;
    const {belief} = decision ?? first;
    const verdict = decision?.verdict ?? AdmissionVerdict.Queue;
    record.admission = {
      verdict,
      queuedMilliseconds: isQueued ? this.now() - startedAt : 0,
      isReturning: request.isReturning,
      belief,
    };
    this.parts.metrics.admissionDecided(verdict, request.priority, isQueued);
    if (decision === undefined) {
      return this.isStopping && !leaves.aborted ? STOPPING_REPLY : undefined;
    }
    return verdict === AdmissionVerdict.Refuse
      ? notExecutedReply(
          LocalReplyReason.EnginesSaturated,
          decision.retryAfterMilliseconds,
        )
      : undefined;
  }

  /** Observes an attempt; undefined if admission control does not apply to it. */
  attemptSent(
    {service, route, organisation}: RequestContext,
    sentAt: number,
  ): AttemptObservation | undefined {
    if (this.currentScope()?.scopeOf(service.name) === undefined) {
      return undefined;
    }
    const sent = {
      priority: requestPriority(route, organisation),
      objectiveMilliseconds: route.goalMilliseconds,
      sentAt,
    };
    return new AttemptObservation(this.admissionOf(service.name), sent);
  }

  /** Refuses what is queued, and queues nothing from now on. */
  beginStop(): void {
    this.isStopping = true;
    for (const leave of [...this.queued.values()]) {
      leave(undefined);
    }
  }

  private requestOf(context: RequestContext): AdmissionRequest | undefined {
    const {caller, route, service, organisation, deadlineAt} = context;
    const scope = this.currentScope();
    const serviceScope = scope?.scopeOf(service.name);
    if (scope === undefined || serviceScope === undefined) {
      return undefined;
    }
    const {deadlineMilliseconds, lastEventId} = caller.headers;
    const isReturning = this.returning.isReturning(
      route.name,
      deadlineMilliseconds,
    );
    return {
      priority: requestPriority(route, organisation),
      isMostUrgent: route.priority === serviceScope.mostUrgentPriority,
      organisation: organisation?.name ?? '',
      weight: scope.weightOf(organisation),
      objectiveMilliseconds: route.goalMilliseconds,
      dueAt: caller.estimatedArrivalAt + route.goalMilliseconds,
      deadlineAt,
      // The rest of a stream that was cut is wanted by a caller that has waited, too.
      isReturning: isReturning || lastEventId !== undefined,
    };
  }

  private async queue(
    admission: EngineAdmission<AdmissionRequest>,
    request: AdmissionRequest,
    leaves: AbortSignal,
  ): Promise<AdmissionDecision | undefined> {
    if (this.isStopping || leaves.aborted) {
      admission.remove(request);
      return undefined;
    }
    const decided = new Promise<AdmissionDecision | undefined>(resolve => {
      const leave = () => {
        resolve(undefined);
      };
      this.queued.set(request, resolve);
      leaves.addEventListener('abort', leave, {once: true});
    });
    this.queueChanged();
    void this.poll();
    const decision = await decided;
    this.queued.delete(request);
    admission.remove(request);
    this.queueChanged();
    return decision;
  }

  private async poll(): Promise<void> {
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    while (this.queued.size > 0) {
      await this.parts.clock.sleep(QUEUE_POLL_MILLISECONDS);
      for (const admission of this.admissions.values()) {
        for (const {request, decision} of admission.advance(this.now())) {
          this.queued.get(request)?.(decision);
        }
      }
    }
    this.isPolling = false;
  }

  private queueChanged(): void {
    this.parts.metrics.setState('admission_queued', this.queued.size);
  }

  private admissionOf(service: string): EngineAdmission<AdmissionRequest> {
    let admission = this.admissions.get(service);
    if (admission === undefined) {
      admission = new ShareAdmission(() => this.parts.fraction());
      this.admissions.set(service, admission);
    }
    return admission;
  }

  private currentScope(): AdmissionScope | undefined {
    const configuration = this.parts.configuration();
    if (configuration !== this.scoped) {
      this.scoped = configuration;
      this.scope =
        configuration === undefined
          ? undefined
          : new AdmissionScope(configuration);
    }
    return this.scope;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
