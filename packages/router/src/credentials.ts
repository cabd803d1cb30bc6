import type {Configuration, Organisation} from '@wisteriadeal/schema';
import {createHash, timingSafeEqual} from 'node:crypto';

/** A caller whose credential was found in the configuration. */
export interface AuthenticatedCaller {
  readonly organisation: Organisation;
  readonly caller: string;
}

interface ConfiguredCredential {
  readonly digest: Buffer;
  readonly caller: AuthenticatedCaller;
}

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]+)$/i;
const DIGEST_BYTES = 32;

/**
 * The credentials of one configuration.
 *
 * The secret is hashed first, and every known digest is compared in constant time
 * without stopping at the first match, so response times reveal neither how much
 * of a guess was correct nor which organisation a credential belongs to.
 */
export class Credentials {
  private readonly credentials: readonly ConfiguredCredential[];

  constructor(configuration: Configuration) {
    this.credentials = configuration.organisations.flatMap(organisation =>
      organisation.callers
        .map(caller => ({
          digest: Buffer.from(caller.credentialSha256, 'hex'),
          caller: {organisation, caller: caller.name},
        }))
        .filter(({digest}) => digest.length === DIGEST_BYTES),
    );
  }

  /**
   * Finds the caller of an `Authorization` header; undefined if there is none.
   *
   * @example
   * ```ts
   * const caller = credentials.authenticate(request.headers.authorization);
   * ```
   */
  authenticate(header: string | undefined): AuthenticatedCaller | undefined {
    const secret = BEARER_PATTERN.exec(header ?? '')?.[1];
    if (secret === undefined) {
      return undefined;
    }
    const digest = createHash('sha256').update(secret).digest();
    let found: AuthenticatedCaller | undefined;
    for (const candidate of this.credentials) {
      if (timingSafeEqual(candidate.digest, digest)) {
        found = candidate.caller;
      }
    }
    return found;
  }
}
