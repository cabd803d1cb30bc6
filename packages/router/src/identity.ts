import type {RandomSource} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

const REQUEST_DIGITS = 32;
const ATTEMPT_DIGITS = 8;
const MINTED_PREFIX = 'minted';

/** SHA-256 in lower-case hexadecimal. */
export function sha256Hex(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/** Whose request it is. */
export interface CallerIdentity {
  readonly organisation: string;
  readonly caller: string;
}

/**
 * The identifier of a request with a caller's key: the same at every router, and
 * never that of another organisation or caller.
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
  return `req_${digest.slice(0, REQUEST_DIGITS)}`;
}

/** The identifier of a request without a key. */
export function freshRequestId(random: RandomSource): string {
  return `req_${random.identifier().slice(0, REQUEST_DIGITS)}`;
}

/** The identifier of one try at one endpoint. */
export function freshAttemptId(
  requestId: string,
  random: RandomSource,
): string {
  return `${requestId}.${random.identifier().slice(0, ATTEMPT_DIGITS)}`;
}

/** A key that only one router incarnation may execute. */
export interface MintedKey {
  readonly dataCenter: string;
  readonly incarnation: string;
}

/**
 * Mints a key. Only this incarnation may execute it, so no claim on the log is
 * needed, and it works while the platform is away.
 */
export function mintKey(owner: MintedKey, random: RandomSource): string {
  const incarnation = Buffer.from(owner.incarnation).toString('base64url');
  return [
    MINTED_PREFIX,
    Buffer.from(owner.dataCenter).toString('base64url'),
    incarnation,
    random.identifier(),
  ].join('.');
}

/** Reads a minted key; undefined for a caller's own key. */
export function parseMintedKey(key: string): MintedKey | undefined {
  const [prefix, dataCenter, incarnation, identifier, ...rest] = key.split('.');
  if (
    prefix !== MINTED_PREFIX ||
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
