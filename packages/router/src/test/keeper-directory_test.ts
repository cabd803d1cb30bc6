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
import {KeeperConnector, type KeeperLink} from '../keeper-link.js';
import type {BeginFields} from '../keeper-session.js';
import {FakeKeeper} from './fake-keeper.js';
import {HurriedClock, testConfiguration, until} from './router-rig.js';

/** Two keepers of the data centre, by address. */
class TwoKeepers extends KeeperConnector {
  constructor(private readonly keepers: Readonly<Record<string, FakeKeeper>>) {
    super();
  }

  override open(address: string): KeeperLink {
    const keeper = this.keepers[address];
    if (keeper === undefined) {
      throw new Error(`no keeper at ${address}`);
    }
    return keeper.open(address);
  }
}

const one = 'host-1/keeper/fake';
const two = 'host-2/keeper/fake';
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
  reservation: {grantId: 'grant-1', holder: one, witness: two, askedAt: 0},
};

let directory: KeeperDirectory;

function start(firstVersion = 1, secondVersion = 1) {
  const configuration = testConfiguration();
  const keepers = {
    'a:1': new FakeKeeper(configuration, undefined, one),
    'b:2': new FakeKeeper(configuration, undefined, two),
  };
  keepers['a:1'].version = firstVersion;
  keepers['b:2'].version = secondVersion;
  keepers['a:1'].membership = {
    keepers: [
      {
        identity: {
          incarnation: two,
          dataCenter: 'kigali-1',
          controlAddress: 'b:2',
        },
        reachable: true,
      },
    ],
  };
  const versions: number[] = [];
  const clock = new HurriedClock();
  const log = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  directory = new KeeperDirectory(
    {
      self: () => create(ProcessIdentitySchema, {incarnation: 'r'}),
      dataCenter: 'kigali-1',
      localKeeper: 'a:1',
      connector: new TwoKeepers(keepers),
      clock,
      log,
    },
    {
      configurationChanged: ({version}) => versions.push(version),
      membershipChanged: () => undefined,
      settled: requestId => {
        holder.settled(requestId);
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

// A keeper that restarted during a platform outage knows an older version only.
// Taking it would revert what an operator published.
it('takes only rising configuration versions', async () => {
  const {first, second, versions} = start(5, 3);
  await until(() => directory.openSessions().length === 2);
  const configuration = testConfiguration();
  first.tell({
    kind: {case: 'configuration', value: {version: 4, configuration}},
  });
  second.tell({
    kind: {case: 'configuration', value: {version: 6, configuration}},
  });
  await until(() => versions.includes(6));
  expect(versions).toEqual([5, 6]);
});

it('asks the keeper that a wrong one names, a bounded number of times', async () => {
  const {first, second, holder} = start();
  await until(() => directory.openSessions().length === 2);
  const name = (other: string) => () => ({
    verdict: BeginVerdict.NOT_HOLDER,
    holder: other,
  });
  first.verdict = name(two);
  expect((await holder.begin(begin)).holder).not.toBe('');
  second.verdict = name(one);
  first.received.length = 0;
  second.received.length = 0;
  await expect(holder.begin(begin)).rejects.toThrow();
  const asked: readonly BeginRequest[] = [
    ...first.heard('begin'),
    ...second.heard('begin'),
  ];
  expect(asked).toHaveLength(4);
});

// The holder takes the settlement but its acknowledgement is lost with it. The
// usage must not be lost: it goes to the witness, again and again, until one of
// them says that it has it.
it('settles at the witness when the holder is lost, until acknowledged', async () => {
  const {first, second, holder} = start();
  await until(() => directory.openSessions().length === 2);
  first.acknowledges = false;
  second.acknowledges = false;
  let done = false;
  const settling = holder
    .settle(reserved, create(BillSchema, {requestId: 'req_1', tokens: 4}))
    .then(() => {
      done = true;
    });
  await until(() => first.heard('settle').length >= 2);
  first.unreachable = true;
  first.loseSessions();
  await until(() => second.heard('settle').length >= 2);
  expect(done).toBe(false);
  second.acknowledges = true;
  await settling;
  expect(second.heard('settle').at(-1)?.bill?.tokens).toBe(4);
  expect(holder.openSettlements).toBe(0);
});

// A begin's answer is lost; the keeper may have reserved. Unless it is released
// first, the next begin is taken for a retry of what runs at this very router.
it('abandons a begin without an answer before it begins again', async () => {
  const {first, second, holder} = start();
  await until(() => directory.openSessions().length === 2);
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

it('names the begins without an answer when it abandons them', async () => {
  // Guards against bills for requests whose callers were told that nothing ran.
  const {first, second, holder} = start();
  await until(() => directory.openSessions().length === 2);
  first.verdict = () => undefined;
  second.verdict = () => undefined;
  await expect(holder.begin(begin)).rejects.toThrow('begin at the holder');
  const heard = <Case extends 'begin' | 'abandon'>(kind: Case) => [
    ...first.heard(kind),
    ...second.heard(kind),
  ];
  await until(() => heard('abandon').length === 4);
  const numbers = heard('begin')
    .map(({beginNumber}) => beginNumber)
    .sort((a, b) => a - b);
  const abandoned = heard('abandon')
    .map(({lostBegins}) => lostBegins)
    .sort((a, b) => a.length - b.length);
  expect(abandoned).toEqual(
    numbers.map((_, index) => numbers.slice(0, index + 1)),
  );
});

it('fails a begin whose session is lost, and abandons it', async () => {
  const {first, second, holder} = start();
  await until(() => directory.openSessions().length === 2);
  first.verdict = () => undefined;
  second.verdict = () => undefined;
  await expect(holder.begin(begin)).rejects.toThrow('begin at the holder');
  await until(
    () => first.heard('abandon').length + second.heard('abandon').length === 4,
  );
});
