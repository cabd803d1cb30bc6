import type {CallerExchange} from './caller-exchange.js';
import {
  LocalReplyReason,
  notExecutedReply,
  type LocalReply,
} from './local-reply.js';

/**
 * Bounds of the retry delay in milliseconds. The caller's next connection goes
 * to another host, so there is nothing to wait for; the random part spreads the
 * callers of this host.
 */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 20;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 50;

/**
 * Prepares the reply of a host that has no configuration yet, and closes the
 * caller's connection after it: a request on a kept connection would come to
 * this host again. The body is received first, because closing a connection with
 * unread data resets it before the caller has read the reply.
 *
 * @param fraction Random number from 0 to below 1.
 */
export async function refuseWithoutConfiguration(
  caller: CallerExchange,
  fraction: number,
): Promise<LocalReply> {
  await caller.discardBody();
  caller.disableKeepAlive();
  return notExecutedReply(
    LocalReplyReason.NoConfiguration,
    MINIMUM_RETRY_AFTER_MILLISECONDS +
      fraction *
        (MAXIMUM_RETRY_AFTER_MILLISECONDS - MINIMUM_RETRY_AFTER_MILLISECONDS),
  );
}
