import type {Decision} from './decision.js';
import type {Choice, Lane} from './lane.js';
import type {QueuedWork} from './queue-policy.js';
import {WorkClass, type WorkItem} from './work.js';

function comesBefore(left: QueuedWork, right: QueuedWork): boolean {
  if (left.item.workClass !== right.item.workClass) {
    return left.item.workClass === WorkClass.Interactive;
  }
  return left.queuedAt < right.queuedAt;
}

/**
 * The lane whose next request comes first, where several models share an
 * endpoint: interactive before batch, then the one that has waited longest.
 * Undefined where nothing waits.
 */
function nextLane(lanes: readonly Lane[]): Lane | undefined {
  let first: Lane | undefined;
  let firstWork: QueuedWork | undefined;
  for (const lane of lanes) {
    const work = lane.queue.peek();
    if (
      work !== undefined &&
      (firstWork === undefined || comesBefore(work, firstWork))
    ) {
      first = lane;
      firstWork = work;
    }
  }
  return first;
}

/**
 * Gives free slots to those that wait, in the order of their queues, until no
 * lane can place its next request.
 *
 * @param place Takes the request out of its queue and places it.
 */
export function serveWaiting(
  lanes: readonly Lane[],
  now: number,
  place: (item: WorkItem, lane: Lane, choice: Choice) => Decision,
): Decision[] {
  const decisions: Decision[] = [];
  let open = lanes;
  for (;;) {
    const lane = nextLane(open);
    const next = lane?.queue.peek();
    if (lane === undefined || next === undefined) {
      return decisions;
    }
    const choice = lane.choose(next.item, now);
    if (choice === undefined) {
      open = open.filter(other => other !== lane);
    } else {
      decisions.push(place(next.item, lane, choice));
    }
  }
}
