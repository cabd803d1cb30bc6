import type {Decision} from './decision.js';
import type {PlacementChoice, Lane} from './lane.js';
import type {QueuedWork} from './queue-policy.js';
import {WorkClass, type WorkItem} from './work.js';

function isBefore(left: QueuedWork, right: QueuedWork): boolean {
  if (left.item.workClass !== right.item.workClass) {
    return left.item.workClass === WorkClass.Interactive;
  }
  return left.queuedAt < right.queuedAt;
}

/**
 * Returns the lane whose next request comes first, if several models share an
 * endpoint: interactive before batch, then the longest wait. Undefined if no
 * request is queued.
 */
function nextLane(lanes: readonly Lane[]): Lane | undefined {
  let first: Lane | undefined;
  let firstWork: QueuedWork | undefined;
  for (const lane of lanes) {
    const work = lane.queue.peek();
    if (
      work !== undefined &&
      (firstWork === undefined || isBefore(work, firstWork))
    ) {
      first = lane;
      firstWork = work;
    }
  }
  return first;
}

/**
 * Assigns free slots to queued requests in queue order, until no lane can place
 * its next request.
 *
 * @param place Removes the request from its queue and places it.
 */
export function placeWaitingRequests(
  lanes: readonly Lane[],
  now: number,
  place: (item: WorkItem, lane: Lane, choice: PlacementChoice) => Decision,
): Decision[] {
  const decisions: Decision[] = [];
  let openLanes = lanes;
  for (;;) {
    const lane = nextLane(openLanes);
    const next = lane?.queue.peek();
    if (lane === undefined || next === undefined) {
      return decisions;
    }
    const choice = lane.choose(next.item, now);
    if (choice === undefined) {
      openLanes = openLanes.filter(other => other !== lane);
    } else {
      decisions.push(place(next.item, lane, choice));
    }
  }
}
