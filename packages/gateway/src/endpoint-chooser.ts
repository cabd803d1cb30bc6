import {
  choosePlacement,
  failedShareLimit,
  isSameOrigin,
  PartSource,
  withoutColdEndpoints,
  type ColdAdmission,
  type PartPopularity,
  type Placement,
  type PlacementCandidate,
  type RequestCost,
  type ServiceSpeed,
  type WarmthOfCandidate,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import {mayRunIn} from './allowed-regions.js';
import {fetchableParts, ownPromptTokens} from './balancing/index.js';
import {RouteKind, type ServiceDescription} from './configuration.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {KnownEndpoint} from './known-endpoint.js';
import {PathKind, type EndpointPath} from './endpoint-path.js';
import type {
  StatedAdmission,
  WithholdingReason,
} from './endpoint-statements/index.js';
import {LocalReplyReason} from './local-reply.js';
import type {RequestContext} from './request-context.js';
import {requestPriority} from './request-priority.js';
import type {ServicePaths} from './service-paths.js';

/** The endpoint for a request, and the path over which it is sent. */
export interface ChosenEndpoint {
  readonly endpoint: KnownEndpoint;
  readonly path: EndpointPath;
  readonly isCold: boolean;
  /** What was expected of the endpoint. */
  readonly placement: Omit<Placement<Candidate>, 'candidate'>;
  /** Prompt tokens that other requests share. */
  readonly sharedTokens: number;
}

/** A run that goes on from a copy reads next to nothing, wherever its endpoint stands. */
const PLACED_BY_COPY: ChosenEndpoint['placement'] = {
  fetchFrom: undefined,
  source: PartSource.None,
  tokens: 0,
  beginMilliseconds: 0,
  slowness: 1,
  sentMilliseconds: 0,
};

/** Endpoints that a request does not go to, for its log line. */
export interface WithheldEndpoints {
  /** Number of endpoints of the service that may be cold. */
  readonly cold: number;
  /** Number of them that were no candidates. */
  readonly withheld: number;
  /** Those that were no candidates by what they have said of themselves. */
  readonly inNeed: readonly EndpointInNeed[];
}

/** An endpoint that gets no request by what it has said of itself. */
export interface EndpointInNeed {
  readonly endpoint: KnownEndpoint;
  readonly reason: WithholdingReason;
}

/** Where hosts and endpoints are, and which of the cold ones this host may use. */
export interface PlacementRules {
  readonly dataCenter: string;
  /** Region of this host. */
  readonly region: string;
  /** Admits requests to endpoints that may be cold. */
  readonly cold: ColdAdmission;
  /** Admits requests by what endpoints have said of themselves. */
  readonly stated: StatedAdmission;
  /** This host's recent requests to a service, by shared prompt part. */
  popularityOf(service: string): PartPopularity;
  /** What this host knows of the speed of a service's endpoints. */
  speedOf(service: string): ServiceSpeed;
  /** Region of a data centre; undefined if it is not known. */
  regionOf(dataCenter: string): string | undefined;
  /** Number of hosts that send requests to the same endpoints. */
  hostCount(): number;
  /** Random number from 0 to below 1. */
  fraction(): number;
}

/** An endpoint that a request may go to. */
export interface Candidate extends PlacementCandidate, WarmthOfCandidate {
  readonly endpoint: KnownEndpoint;
}

/**
 * Selects an endpoint for a request from the state of its service's endpoints.
 */
export class EndpointChooser {
  private lastWithheld: WithheldEndpoints = {
    cold: 0,
    withheld: 0,
    inNeed: [],
  };

  constructor(
    private readonly directory: EndpointDirectory,
    private readonly paths: ServicePaths,
    private readonly clock: Clock,
    private readonly rules: PlacementRules,
  ) {}

  /** What the last choice did not consider. */
  get withheld(): WithheldEndpoints {
    return this.lastWithheld;
  }

  /**
   * Selects the endpoint for a request; undefined if its service has none that
   * may run it.
   *
   * @param avoided Identifiers of endpoints that the request was already sent
   *     to.
   */
  choose(
    context: RequestContext,
    avoided: ReadonlySet<string>,
  ): ChosenEndpoint | undefined {
    const {route, service, caller, isTry, binding} = context;
    const path = this.paths.pathTo(service.name);
    const now = this.clock.monotonicMilliseconds();
    const usable = this.mayUsePath(context, path)
      ? this.candidates(service, path, now).filter(
          ({endpoint}) =>
            binding.admits(endpoint, path, now) &&
            this.mayRunAt(context, endpoint),
        )
      : [];
    const inNeed = this.endpointsInNeed(context, usable);
    const admitted = usable.filter(
      candidate =>
        !inNeed.some(({endpoint}) => endpoint === candidate.endpoint),
    );
    const warm = withoutColdEndpoints(admitted);
    const mayBePreferred = ({endpoint}: Candidate) =>
      !avoided.has(endpoint.entry.id);
    const proven = binding.isBound
      ? preferred(
          warm,
          candidate =>
            path.hasProvenConnection(candidate.endpoint) &&
            mayBePreferred(candidate),
        )
      : warm;
    const candidates = path.connections.lacksConnections
      ? preferred(
          proven,
          candidate =>
            path.connections.hasIdle(candidate.endpoint.entry) &&
            mayBePreferred(candidate),
        )
      : proven;
    this.lastWithheld = {
      cold: admitted.filter(({isCold}) => isCold).length,
      withheld: admitted.length - warm.length,
      inNeed,
    };
    const sharedParts =
      route.kind === RouteKind.Streaming && !isTry
        ? caller.headers.promptParts.slice(0, -1)
        : [];
    const sharedPart = sharedParts.at(-1)?.id;
    const sharedTokens = sharedParts.reduce((sum, {tokens}) => sum + tokens, 0);
    const popularity = this.rules.popularityOf(service.name);
    const placement = choosePlacement(
      {
        sharedPart,
        sharedTokens,
        homes:
          sharedPart === undefined
            ? 1
            : popularity.homesOf(sharedPart, candidates.length, now),
        dataCenter: this.rules.dataCenter,
        avoided,
        fraction: this.rules.fraction(),
        cost: this.costOf(context, now),
        fetch: fetchableParts(
          service.engine,
          sharedTokens,
          this.rules.speedOf(service.name),
          now,
        ),
      },
      candidates,
    );
    if (placement === undefined) {
      return undefined;
    }
    const {endpoint, isCold} = placement.candidate;
    return {
      endpoint,
      isCold,
      placement,
      sharedTokens,
      path: this.paths.pathToEndpoint(path, endpoint),
    };
  }

  private costOf(
    {route, service, caller}: RequestContext,
    now: number,
  ): RequestCost {
    return {
      now,
      speed: this.rules.speedOf(service.name),
      dataCenter: this.rules.dataCenter,
      goalMilliseconds: route.goalMilliseconds,
      pauseGoalMilliseconds: route.pauseGoalMilliseconds,
      ownTokens: ownPromptTokens(caller.headers),
      hosts: this.rules.hostCount(),
    };
  }

  /** Endpoints of the same build at which a copy of a run may be kept. */
  placesBeside(
    context: RequestContext,
    runsAt: KnownEndpoint,
  ): readonly KnownEndpoint[] {
    const {service} = context;
    const path = this.paths.pathTo(service.name);
    const now = this.clock.monotonicMilliseconds();
    return this.candidates(service, path, now)
      .filter(
        ({endpoint, isAvailable, isCold}) =>
          isAvailable &&
          !isCold &&
          endpoint !== runsAt &&
          !this.rules.stated.isInNeed(endpoint) &&
          !path.breakerOf(endpoint).isTripped &&
          isSameOrigin(endpoint.entry, runsAt.entry) &&
          this.mayContinueAt(context, endpoint, path, now),
      )
      .map(({endpoint}) => endpoint);
  }

  /**
   * The way to an endpoint that has a copy of a run; undefined if it may not go on
   * there.
   *
   * @param mayLeave Whether the endpoint may be leaving, since it has run it so far.
   * @param isStopped Whether the run was stopped to go on elsewhere, so that nothing
   *     that endpoints have said meanwhile may keep it back.
   */
  continueAt(
    context: RequestContext,
    endpoint: KnownEndpoint,
    {mayLeave = false, isStopped = false} = {},
  ): ChosenEndpoint | undefined {
    const path = this.paths.pathTo(context.service.name);
    const now = this.clock.monotonicMilliseconds();
    return (mayLeave || this.directory.isOpen(endpoint)) &&
      (isStopped || this.rules.stated.reasonAgainst(endpoint) === undefined) &&
      this.mayContinueAt(context, endpoint, path, now)
      ? {
          endpoint,
          isCold: false,
          path: this.paths.pathToEndpoint(path, endpoint),
          placement: PLACED_BY_COPY,
          sharedTokens: 0,
        }
      : undefined;
  }

  /** Whether any listed endpoint of the service may run the request. */
  mayChoose(context: RequestContext): boolean {
    const {service, binding} = context;
    const now = this.clock.monotonicMilliseconds();
    return this.directory
      .openEndpoints(service.name)
      .some(
        endpoint =>
          binding.mayAdmit(endpoint, now) && this.mayRunAt(context, endpoint),
      );
  }

  /** Why no endpoint was chosen for a request. */
  reasonForNone(context: RequestContext): LocalReplyReason {
    const {service, binding} = context;
    if (this.lastWithheld.inNeed.length > 0) {
      return LocalReplyReason.EndpointsInNeed;
    }
    if (this.lastWithheld.withheld > 0 && this.mayChoose(context)) {
      return LocalReplyReason.EndpointsCold;
    }
    if (binding.isBound) {
      return LocalReplyReason.BuildGone;
    }
    return this.directory.hasEvacuated(service.name)
      ? LocalReplyReason.Evacuated
      : LocalReplyReason.NoEndpoint;
  }

  /**
   * Retry delay of a request for which no endpoint was chosen, milliseconds; undefined
   * if no endpoint has said when it takes requests again.
   */
  retryAfterMilliseconds(): number | undefined {
    const {inNeed} = this.lastWithheld;
    return inNeed.length === 0
      ? undefined
      : this.rules.stated.retryAfterMilliseconds(
          inNeed.map(({endpoint}) => endpoint),
          this.rules.fraction(),
        );
  }

  private endpointsInNeed(
    {service, route, organisation}: RequestContext,
    candidates: readonly Candidate[],
  ): readonly EndpointInNeed[] {
    const {stated} = this.rules;
    const priority = requestPriority(route, organisation);
    const yields = stated.yieldsTo(service.name, priority);
    return candidates.flatMap(({endpoint}) => {
      const reason = stated.reasonAgainst(endpoint, yields);
      return reason === undefined ? [] : [{endpoint, reason}];
    });
  }

  private mayContinueAt(
    context: RequestContext,
    endpoint: KnownEndpoint,
    path: EndpointPath,
    now: number,
  ): boolean {
    return (
      this.mayUsePath(context, path) &&
      context.binding.admits(endpoint, path, now) &&
      path.originOf(endpoint, now) !== undefined &&
      this.mayRunAt(context, endpoint)
    );
  }

  private mayRunAt(
    {route, organisation}: RequestContext,
    {entry}: KnownEndpoint,
  ): boolean {
    const region = this.rules.regionOf(entry.dataCenter);
    return mayRunIn(region, route, organisation);
  }

  /** Relays are in this host's region and see the request's body. */
  private mayUsePath(
    {route, organisation}: RequestContext,
    path: EndpointPath,
  ): boolean {
    return (
      path.kind === PathKind.Direct ||
      mayRunIn(this.rules.region, route, organisation)
    );
  }

  private candidates(
    service: ServiceDescription,
    path: EndpointPath,
    now: number,
  ): readonly Candidate[] {
    const open = this.directory.openEndpoints(service.name);
    const limit = failedShareLimit(
      open.map(endpoint => path.breakerOf(endpoint).failedShare),
    );
    return open.map(endpoint => ({
      endpoint,
      id: endpoint.entry.id,
      dataCenter: endpoint.entry.dataCenter,
      slots: endpoint.entry.slots,
      load: endpoint.load,
      work: endpoint.work,
      isAvailable:
        path.isAvailable(endpoint, now) &&
        path.breakerOf(endpoint).failedShare <= limit,
      ...this.warmthOf(endpoint, service, now),
    }));
  }

  private warmthOf(
    {entry, warmth}: KnownEndpoint,
    {coldRequestsPerSecond}: ServiceDescription,
    now: number,
  ): Omit<WarmthOfCandidate, 'isAvailable'> {
    const isCold = coldRequestsPerSecond > 0 && warmth.isCold(now);
    const cold = {id: entry.id, requestsPerSecond: coldRequestsPerSecond};
    return {
      isCold,
      needsTrial: warmth.needsTrial,
      hasTurn: isCold && this.rules.cold.mayAdmit(cold, now),
    };
  }
}

/** The candidates that are preferred, if one of them is available, otherwise all. */
function preferred(
  candidates: readonly Candidate[],
  isPreferred: (candidate: Candidate) => boolean,
): readonly Candidate[] {
  const some = candidates.filter(isPreferred);
  return some.some(({isAvailable}) => isAvailable) ? some : candidates;
}
