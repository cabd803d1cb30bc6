import type {RandomSource} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

const REQUEST_ID_DIGITS = 32;
const ATTEMPT_ID_DIGITS = 8;
const MINTED_KEY_PREFIX = 'minted';

/** Returns the SHA-256 digest in lower-case hexadecimal. */
export function sha256Hex(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/** The organisation and the caller that own a request. */
export interface CallerIdentity {
  readonly organisation: string;
  readonly caller: string;
}

/**
 * Derives the identifier of a request with an idempotency key. It is the same at
 * every router, and differs between organisations and callers.
 *
 * @example
 * ```ts
 * keyedRequestId({organisation: 'hotel', caller: 'clerk'}, 'c-17');
 * ```
 */
export function keyedRequestId(identity: CallerIdentity, key: string): string {
  const digest = sha256Hex(
    `${identity.organisation}\u0000${identity.caller}\u0000${key}`,
  );
  return `req_${digest.slice(0, REQUEST_ID_DIGITS)}`;
}

/** Generates the identifier of a request without a key. */
export function generateRequestId(random: RandomSource): string {
  return `req_${random.identifier().slice(0, REQUEST_ID_DIGITS)}`;
}

/** Generates the identifier of one attempt at one endpoint. */
export function generateAttemptId(
  requestId: string,
  random: RandomSource,
): string {
  return `${requestId}.${random.identifier().slice(0, ATTEMPT_ID_DIGITS)}`;
}

/** The router incarnation that minted a key; only it may execute the request. */
export interface MintedKeyOwner {
  readonly dataCenter: string;
  readonly incarnation: string;
}

/**
 * Mints a key. Only the minting incarnation may execute a request with it, so no
 * claim in the log is needed and the key works while the platform is unavailable.
 */
export function mintKey(owner: MintedKeyOwner, random: RandomSource): string {
  const incarnation = Buffer.from(owner.incarnation).toString('base64url');
  return [
    MINTED_KEY_PREFIX,
    Buffer.from(owner.dataCenter).toString('base64url'),
    incarnation,
    random.identifier(),
  ].join('.');
}

/** Parses a minted key; returns undefined for a caller's own key. */
export function parseMintedKey(key: string): MintedKeyOwner | undefined {
  const [prefix, dataCenter, incarnation, identifier, ...rest] = key.split('.');
  if (
    prefix !== MINTED_KEY_PREFIX ||
    dataCenter === undefined ||
    incarnation === undefined ||
    identifier === undefined ||
    rest.length > 0
  ) {
    return undefined;
  }
  return {
    dataCenter: Buffer.from(dataCenter, 'base64url').toString(),
    incarnation: Buffer.from(incarnation, 'base64url').toString(),
  };
}
