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
 * Prepares the reply of a host that has no configuration to serve by, and closes the
 * caller's connection after it: a request on a kept connection would come to
 * this host again. The body is received first, because closing a connection with
 * unread data resets it before the caller has read the reply.
 *
 * @param reason Why the host can't serve by a configuration.
 * @param fraction Random number from 0 to below 1.
 */
export async function refuseWithoutConfiguration(
  caller: CallerExchange,
  reason: LocalReplyReason,
  fraction: number,
): Promise<LocalReply> {
  await caller.discardBody();
  return leadToOtherHost(caller, reason, fraction);
}

/**
 * Reasons for which a host denies a request by its configuration. An exhausted budget is
 * none: while the store is away for all hosts, callers would use up their attempts on it.
 */
const DENIALS: ReadonlySet<LocalReplyReason> = new Set([
  LocalReplyReason.NoRoute,
  LocalReplyReason.NoKey,
]);

/**
 * Replaces a denial by a host whose configuration may have been replaced: another host may
 * know better. Other replies stay as they are.
 *
 * @param fraction Random number from 0 to below 1.
 */
export function withoutDenial(
  caller: CallerExchange,
  reply: LocalReply,
  fraction: number,
): LocalReply {
  return DENIALS.has(reply.reason)
    ? leadToOtherHost(caller, LocalReplyReason.ConfigurationOutdated, fraction)
    : reply;
}

function leadToOtherHost(
  caller: CallerExchange,
  reason: LocalReplyReason,
  fraction: number,
): LocalReply {
  caller.disableKeepAlive();
  return notExecutedReply(
    reason,
    MINIMUM_RETRY_AFTER_MILLISECONDS +
      fraction *
        (MAXIMUM_RETRY_AFTER_MILLISECONDS - MINIMUM_RETRY_AFTER_MILLISECONDS),
  );
}
