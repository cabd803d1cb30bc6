import type {ProcessIdentity} from '@wisteriadeal/schema';

/**
 * Sorts members by incarnation, in place. The order in which heartbeats arrive
 * has no meaning. When it was visible in the membership, each heartbeat in a
 * larger fleet looked like a change and was sent to every router, whose answer
 * caused the next change.
 */
export function sortMembers<
  Member extends {readonly identity?: ProcessIdentity | undefined},
>(members: Member[]): Member[] {
  const incarnationOf = (member: Member) => member.identity?.incarnation ?? '';
  return members.sort((one, other) =>
    incarnationOf(one) < incarnationOf(other) ? -1 : 1,
  );
}
