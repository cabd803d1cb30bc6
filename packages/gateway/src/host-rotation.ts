import type {RotationInput, RotationPolicy} from '@wisteriadeal/decisions';
import type {EventLog} from '@wisteriadeal/runtime';

/** What a host's place in the rotation depends on. */
export interface RotationParts {
  readonly policy: RotationPolicy;
  readonly events: EventLog;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/**
 * This host's place in the balancer's rotation.
 *
 * @example
 * ```ts
 * rotation.observe({isOverloaded: link.isOverloaded, connections});
 * response.statusCode = rotation.takesConnections ? 200 : 503;
 * rotation.probed(rotation.takesConnections);
 * ```
 */
export class HostRotation {
  constructor(private readonly parts: RotationParts) {}

  /** Whether the balancer may send new connections. */
  get takesConnections(): boolean {
    return this.parts.policy.takesConnections;
  }

  /** Name of its state, for people. */
  get state(): string {
    return this.parts.policy.state;
  }

  /** Whether answers that begin now end their connections. */
  get endsConnections(): boolean {
    return this.parts.policy.endsConnections;
  }

  /** Somebody was answered whether the host is ready. */
  probed(isReady: boolean): void {
    this.parts.policy.probed(this.parts.now(), isReady);
  }

  /** Takes note of the load; to be called some times a second. */
  observe(input: RotationInput): void {
    const {policy, events, now} = this.parts;
    const before = policy.state;
    policy.observe(now(), input);
    if (policy.state !== before) {
      events.info('rotation', {from: before, to: policy.state, ...input});
    }
  }
}
