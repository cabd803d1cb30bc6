/**
 * What began a stream. Endpoints of another service or build would add events that
 * don't fit those before.
 */
export interface StreamOrigin {
  readonly service: string;
  /** Build of the endpoint's software; compared for equality only. */
  readonly build: string;
}

/**
 * Whether two parts of a stream fit together.
 *
 * @example
 * ```ts
 * isSameOrigin({service: 'tutors', build: 'v1'}, {service: 'tutors', build: 'v2'}); // false
 * ```
 */
export function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.build === other.build;
}
