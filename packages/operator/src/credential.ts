import {createHash, randomBytes} from 'node:crypto';

const SECRET_BYTES = 24;

/** A secret and the hash that a configuration holds in its place. */
export interface MintedCredential {
  /** Goes to the caller, who sends it as `Authorization: Bearer SECRET`. */
  readonly secret: string;
  /** Goes into the configuration. */
  readonly credentialSha256: string;
}

/**
 * The hash under which a configuration holds a secret.
 *
 * @example
 * ```ts
 * hashCredential(process.env.TUTOR_SECRET);
 * ```
 */
export function hashCredential(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Mints a secret of 192 random bits. A plain SHA-256 is enough for it: a secret
 * of that size can't be guessed from its hash, whereas a password could.
 *
 * @example
 * ```ts
 * const {secret, credentialSha256} = mintCredential();
 * ```
 */
export function mintCredential(): MintedCredential {
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  return {secret, credentialSha256: hashCredential(secret)};
}
