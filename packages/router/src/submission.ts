import type {WorkClass} from '@wisteriadeal/decisions';

import type {EndpointWork} from './endpoint-work.js';
import type {CallerIdentity, MintedKey} from './identity.js';

/** A request that was read, checked and understood. */
export interface Submission extends CallerIdentity {
  readonly requestId: string;
  readonly fingerprint: string;
  /** The caller chose the key, so an earlier try may have run elsewhere. */
  readonly keyed: boolean;
  /** The key was minted by this router, which alone may execute it. */
  readonly mintedHere: boolean;
  /** The key was minted by another router, which alone may execute it. */
  readonly mintedElsewhere: MintedKey | undefined;
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
  /** On the monotonic clock: the first token must be there by then. */
  readonly deadlineAt: number;
  /** The caller has seen events up to this one; -1 for none. */
  readonly lastEvent: number;
  readonly work: EndpointWork;
}
