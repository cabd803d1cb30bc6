/**
 * Load decisions without I/O: admission, queueing, refusal, placement and
 * shifting. Nothing here opens a socket, reads a clock or creates random
 * numbers; the caller passes them in.
 */
export * from './admission-policy.js';
export * from './affinity-placement.js';
export * from './data-center-circuit-breaker.js';
export * from './deadline-refusal.js';
export * from './decision.js';
export * from './endpoint-description.js';
export * from './endpoint-pool.js';
export * from './endpoint-state.js';
export * from './engine-inventory.js';
export * from './engine-order.js';
export * from './fair-admission.js';
export * from './fair-queue.js';
export * from './first-come-queue.js';
export * from './link-delay.js';
export * from './link-load.js';
export * from './load-core-options.js';
export * from './load-core.js';
export * from './load-policies.js';
export * from './order-planner.js';
export * from './placement-policy.js';
export * from './queue-policy.js';
export * from './random-placement.js';
export * from './refusal-policy.js';
export * from './rolling-order-planner.js';
export * from './rotation-policy.js';
export * from './rotation/index.js';
export * from './shed-slow-endpoints.js';
export * from './shedding-policy.js';
export * from './shift-policy.js';
export * from './trip-cost-shift.js';
export * from './weight-budget.js';
export * from './standing-delay.js';
export * from './stop-admission.js';
export * from './store-reads/read-intervals.js';
export * from './stream-origin.js';
export * from './stream-origins.js';
export * from './origin-knowledge.js';
export * from './build-history.js';
export * from './work.js';
export * from './endpoint-circuit-breaker.js';
export * from './answer-estimate.js';
export * from './resend-budget.js';
export * from './balancing/index.js';
export * from './placement/part-popularity.js';
export * from './placement/shared-prompt-placement.js';
export * from './arrival-admission.js';
export * from './service-reach.js';
export * from './relay-choice.js';
export * from './service-silence.js';
export * from './crash-suspects.js';
export * from './cold-endpoints/index.js';
export * from './admission/index.js';
export * from './continuation/index.js';
