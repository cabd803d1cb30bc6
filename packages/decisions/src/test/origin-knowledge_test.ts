import {describe, expect, it} from 'vitest';

import {decideOrigin, type OriginKnowledge} from '../origin-knowledge.js';

const V1 = {service: 'models', build: 'v1'};

/** A host that has watched for long, with a list that is not current. */
const withOldList: OriginKnowledge = {
  isRecorded: false,
  origin: undefined,
  possible: [V1],
  hasWatched: true,
  isCurrent: false,
};
/** A host that has just started and has read nothing. */
const withoutList: OriginKnowledge = {
  ...withOldList,
  possible: [],
  hasWatched: false,
};

describe('the origin of a stream without a record', () => {
  it('is not confirmed by hosts that have read nothing', () => {
    // Guards against answers of hosts that lost their records counting as proof.
    const origin = decideOrigin({
      own: {...withOldList, hasWatched: false},
      answers: [withoutList, withoutList, withoutList],
      isUpToDate: true,
    });
    expect(origin).toBeUndefined();
  });

  it('is not confirmed by hosts with old lists', () => {
    // Guards against hosts that are cut off together and confirm each other.
    const origin = decideOrigin({
      own: withOldList,
      answers: [withOldList, withOldList, withOldList],
      isUpToDate: false,
    });
    expect(origin).toBeUndefined();
  });
});
