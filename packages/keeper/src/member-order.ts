import type {ProcessIdentity} from '@wisteriadeal/schema';

/**
 * The order in which peers were heard from says nothing. Left in the message, it
 * made each heartbeat of a larger fleet look like a change, which went to every
 * router, whose answer was the next change.
 */
export function inOrder<
  Member extends {readonly identity?: ProcessIdentity | undefined},
>(members: Member[]): Member[] {
  const incarnationOf = (member: Member) => member.identity?.incarnation ?? '';
  return members.sort((one, other) =>
    incarnationOf(one) < incarnationOf(other) ? -1 : 1,
  );
}
