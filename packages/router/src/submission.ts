import type {WorkClass} from '@wisteriadeal/decisions';

import type {EndpointWork} from './endpoint-work.js';
import type {CallerIdentity, MintedKeyOwner} from './identity.js';

/** A parsed and validated request. */
export interface Submission extends CallerIdentity {
  readonly requestId: string;
  /** SHA-256 of the request's content. */
  readonly fingerprint: string;
  /** Whether the request has a key, so an earlier attempt may have run elsewhere. */
  readonly keyed: boolean;
  /** Whether this router minted the key; only it may execute the request. */
  readonly mintedHere: boolean;
  /** The other router that minted the key, if any; only it may execute the request. */
  readonly mintedElsewhere: MintedKeyOwner | undefined;
  readonly idempotent: boolean;
  readonly boundTokens: number;
  readonly service: string;
  /** Empty for plain calls. */
  readonly model: string;
  readonly workClass: WorkClass;
  readonly weight: number;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefixHashes: readonly string[];
  /** Monotonic time in milliseconds by which the first token is due. */
  readonly deadlineAt: number;
  /** Index of the last event that the caller has received; -1 for none. */
  readonly lastEvent: number;
  readonly work: EndpointWork;
}
