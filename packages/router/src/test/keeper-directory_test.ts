import {create} from '@bufbuild/protobuf';
import {EventLog} from '@wisteriadeal/runtime';
import {
  BeginVerdict,
  BillSchema,
  LogLevel,
  ProcessIdentitySchema,
  type BeginRequest,
} from '@wisteriadeal/schema';
import {afterEach, expect, it} from 'vitest';

import {HolderClient} from '../holder-client.js';
import {KeeperDirectory} from '../keeper-directory.js';
import {KeeperConnector, type KeeperStream} from '../keeper-connector.js';
import type {BeginFields} from '../keeper-session.js';
import {FakeKeeper} from './fake-keeper.js';
import {AcceleratedClock, testConfiguration, waitUntil} from './router-rig.js';

/** Connects to two fake keepers of the data centre by address. */
class TwoKeepers extends KeeperConnector {
  constructor(private readonly keepers: Readonly<Record<string, FakeKeeper>>) {
    super();
  }

  override open(address: string): KeeperStream {
    const keeper = this.keepers[address];
    if (keeper === undefined) {
      throw new Error(`no keeper at ${address}`);
    }
    return keeper.open(address);
  }
}

const FIRST_KEEPER = 'host-1/keeper/fake';
const SECOND_KEEPER = 'host-2/keeper/fake';
const begin: BeginFields = {
  requestId: 'req_1',
  organisation: 'hotel-school',
  caller: 'clerk',
  fingerprint: 'f',
  boundTokens: 10,
  attemptId: 'req_1.a',
  service: 'registry-app',
  idempotent: true,
  mintedHere: false,
  endpoint: '',
  claimUnused: false,
};
const reserved = {
  requestId: 'req_1',
  organisation: 'hotel-school',
  reservation: {
    grantId: 'grant-1',
    holder: FIRST_KEEPER,
    witness: SECOND_KEEPER,
    beginSentAt: 0,
  },
};

let directory: KeeperDirectory;

function start(firstVersion = 1, secondVersion = 1) {
  const configuration = testConfiguration();
  const keepers = {
    'a:1': new FakeKeeper(configuration, undefined, FIRST_KEEPER),
    'b:2': new FakeKeeper(configuration, undefined, SECOND_KEEPER),
  };
  keepers['a:1'].version = firstVersion;
  keepers['b:2'].version = secondVersion;
  keepers['a:1'].membership = {
    keepers: [
      {
        identity: {
          incarnation: SECOND_KEEPER,
          dataCenter: 'kigali-1',
          controlAddress: 'b:2',
        },
        reachable: true,
      },
    ],
  };
  const versions: number[] = [];
  const clock = new AcceleratedClock();
  const log = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  directory = new KeeperDirectory(
    {
      identity: () => create(ProcessIdentitySchema, {incarnation: 'r'}),
      dataCenter: 'kigali-1',
      localKeeper: 'a:1',
      connector: new TwoKeepers(keepers),
      clock,
      log,
    },
    {
      configurationChanged: ({version}) => versions.push(version),
      membershipChanged: () => undefined,
      settlementAcknowledged: requestId => {
        holder.settlementAcknowledged(requestId);
      },
    },
  );
  const holder = new HolderClient(directory, clock, log);
  directory.start();
  return {first: keepers['a:1'], second: keepers['b:2'], versions, holder};
}

afterEach(async () => {
  await directory.close();
});

// A keeper that restarted during a platform outage has only an older version.
// Applying it would revert what an operator published.
it('ignores configurations older than the current one', async () => {
  const {first, second, versions} = start(5, 3);
  await waitUntil(() => directory.openSessions().length === 2);
  const configuration = testConfiguration();
  first.broadcast({
    kind: {case: 'configuration', value: {version: 4, configuration}},
  });
  second.broadcast({
    kind: {case: 'configuration', value: {version: 6, configuration}},
  });
  await waitUntil(() => versions.includes(6));
  expect(versions).toEqual([5, 6]);
});

it('follows NOT_HOLDER verdicts to the named keeper, up to 4 begins', async () => {
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  const redirectTo = (other: string) => () => ({
    verdict: BeginVerdict.NOT_HOLDER,
    holder: other,
  });
  first.verdict = redirectTo(SECOND_KEEPER);
  expect((await holder.begin(begin)).holder).not.toBe('');
  second.verdict = redirectTo(FIRST_KEEPER);
  first.received.length = 0;
  second.received.length = 0;
  await expect(holder.begin(begin)).rejects.toThrow();
  const asked: readonly BeginRequest[] = [
    ...first.receivedOf('begin'),
    ...second.receivedOf('begin'),
  ];
  expect(asked).toHaveLength(4);
});

// The holder receives the settlement but is lost before it acknowledges it. To
// preserve the usage, the settlement is resent to the witness until acknowledged.
it('resends a settlement to the witness when the holder is lost', async () => {
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  first.acknowledges = false;
  second.acknowledges = false;
  let done = false;
  const settling = holder
    .settle(reserved, create(BillSchema, {requestId: 'req_1', tokens: 4}))
    .then(() => {
      done = true;
    });
  await waitUntil(() => first.receivedOf('settle').length >= 2);
  first.unreachable = true;
  first.closeSessions();
  await waitUntil(() => second.receivedOf('settle').length >= 2);
  expect(done).toBe(false);
  second.acknowledges = true;
  await settling;
  expect(second.receivedOf('settle').at(-1)?.bill?.tokens).toBe(4);
  expect(holder.openSettlements).toBe(0);
});

// The answer to a begin is lost, and the keeper may have made a reservation.
// Unless it is released first, the keeper treats the next begin as a retry of a
// request that already runs at this router.
it('abandons an unanswered begin before the next begin', async () => {
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  let begins = 0;
  const verdict = () =>
    ++begins === 1 ? undefined : {verdict: BeginVerdict.RESERVED};
  first.verdict = verdict;
  second.verdict = verdict;
  await holder.begin(begin);
  const asked = [...first.received, ...second.received].map(
    ({kind}) => kind.case,
  );
  expect(asked.filter(kind => kind !== 'hello')).toEqual([
    'begin',
    'abandon',
    'begin',
  ]);
});

// Guards against bills for requests that were reported to callers as not run.
it('sends the numbers of unanswered begins when it abandons them', async () => {
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  first.verdict = () => undefined;
  second.verdict = () => undefined;
  await expect(holder.begin(begin)).rejects.toThrow('begin at the holder');
  const receivedByBoth = <Case extends 'begin' | 'abandon'>(kind: Case) => [
    ...first.receivedOf(kind),
    ...second.receivedOf(kind),
  ];
  await waitUntil(() => receivedByBoth('abandon').length === 4);
  const numbers = receivedByBoth('begin')
    .map(({beginNumber}) => beginNumber)
    .sort((a, b) => a - b);
  const abandoned = receivedByBoth('abandon')
    .map(({lostBegins}) => lostBegins)
    .sort((a, b) => a.length - b.length);
  expect(abandoned).toEqual(
    numbers.map((_, index) => numbers.slice(0, index + 1)),
  );
});

it('fails and abandons a begin that is never answered', async () => {
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  first.verdict = () => undefined;
  second.verdict = () => undefined;
  await expect(holder.begin(begin)).rejects.toThrow('begin at the holder');
  await waitUntil(
    () =>
      first.receivedOf('abandon').length +
        second.receivedOf('abandon').length ===
      4,
  );
});

it('tells another keeper of an abandoned request when the one it told is lost', async () => {
  // Guards against a bill for a request that was reported as not run: its
  // reservation may be inherited only after the keeper that was told is lost.
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  await holder.abandon(reserved);
  expect(first.receivedOf('abandon')).toHaveLength(1);
  expect(second.receivedOf('abandon')).toHaveLength(0);
  first.unreachable = true;
  first.closeSessions();
  await waitUntil(() => second.receivedOf('abandon').length === 1);
  expect(second.receivedOf('abandon')).toEqual(first.receivedOf('abandon'));
});

it('names the last begin that an abandon refers to', async () => {
  // Guards against an abandon that arrives late and releases the reservation of
  // a later begin, which may run.
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  await holder.begin(begin);
  await holder.abandon(reserved);
  await holder.begin(begin);
  const [earlier = 0, later = 0] = [
    ...first.receivedOf('begin'),
    ...second.receivedOf('begin'),
  ].map(({beginNumber}) => beginNumber);
  const [abandon] = first.receivedOf('abandon');
  expect(abandon?.throughBegin).toBe(earlier);
  expect(later).toBeGreaterThan(earlier);
});

it('sends a settlement to the current holder too if its own keeper does not store it', async () => {
  // Guards against an answer without a bill: the keeper that made the
  // reservation may be unable to have the bill accepted.
  const {first, second, holder} = start();
  await waitUntil(() => directory.openSessions().length === 2);
  const current = directory.holderOf(reserved.organisation)?.keeper;
  const isFirstCurrent = current?.incarnation === FIRST_KEEPER;
  const [own, other] = isFirstCurrent ? [second, first] : [first, second];
  own.acknowledges = false;
  const {reservation} = reserved;
  await holder.settle(
    {
      ...reserved,
      reservation: {
        ...reservation,
        holder: isFirstCurrent ? SECOND_KEEPER : FIRST_KEEPER,
        witness: '',
      },
    },
    create(BillSchema, {requestId: 'req_1', tokens: 4}),
  );
  expect(own.receivedOf('settle').length).toBeGreaterThan(0);
  expect(other.receivedOf('settle')).toHaveLength(1);
});
