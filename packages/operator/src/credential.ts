import {createHash, randomBytes} from 'node:crypto';

const SECRET_BYTES = 24;

/** A generated secret and the hash that the configuration contains for it. */
export interface MintedCredential {
  /** For the caller, which sends it as `Authorization: Bearer SECRET`. */
  readonly secret: string;
  /** For the configuration: the secret's SHA-256 hash, in hexadecimal. */
  readonly credentialSha256: string;
}

/**
 * Returns the hash that a configuration contains for a secret: its SHA-256, in
 * hexadecimal.
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
 * Generates a secret of 192 random bits. A plain SHA-256 protects it well
 * enough: unlike a password, a secret of that size can't be found from its hash
 * by guessing.
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
