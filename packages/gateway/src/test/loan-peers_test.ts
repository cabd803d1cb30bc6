import {StepError} from '@wisteriadeal/platform';
import {FakeHostLink} from '@wisteriadeal/stand-ins';
import {Agent} from 'node:http';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  ConnectLoanPeers,
  type GrantHandover,
  type LoanHolder,
  type LoanRequest,
} from '../loan-peers.js';
import {LoanServer} from '../loan-server.js';

const REQUEST: LoanRequest = {
  organisation: 'school',
  least: 1,
  wish: 10,
  borrower: 'borrower',
  loan: 'loan',
  inHandOnly: false,
};
const HANDOVER: GrantHandover = {
  giver: 'giver',
  given: [{organisation: 'school', amount: 40}],
};

/** Lends five tokens and takes gifts. */
class FakeLoanHolder implements LoanHolder {
  readonly handovers: GrantHandover[] = [];

  async lend(): Promise<number> {
    return Promise.resolve(5);
  }

  takeOver(gift: GrantHandover): boolean {
    this.handovers.push(gift);
    return true;
  }
}

/** Lends when a test says so. */
class DeferredLoanHolder extends FakeLoanHolder {
  private readonly waiting: (() => void)[] = [];

  override async lend(): Promise<number> {
    await new Promise<void>(resolve => this.waiting.push(resolve));
    return super.lend();
  }

  /** Answers the one borrower that asks, now or soon. */
  async answer(): Promise<void> {
    await this.asked();
    this.waiting.shift()?.();
  }

  /** Waits until a borrower asks. */
  async asked(): Promise<void> {
    while (this.waiting.length === 0) {
      await nextTurn();
    }
  }
}

/** Passes a turn of the event loop. */
function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('ConnectLoanPeers', () => {
  const holder = new FakeLoanHolder();
  const uncaughtErrors: unknown[] = [];
  const collectError = (error: unknown) => {
    uncaughtErrors.push(error);
  };
  let peers: ConnectLoanPeers;

  beforeEach(() => {
    // No time passes: calls end by what their peer does, and none by its limit.
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
    peers = new ConnectLoanPeers();
    uncaughtErrors.length = 0;
    process.on('uncaughtException', collectError);
  });

  afterEach(() => {
    peers.close();
    process.off('uncaughtException', collectError);
    vi.useRealTimers();
  });

  it('brings loans and gifts', async () => {
    const server = await LoanServer.listen(
      {address: '127.0.0.1', port: 0},
      holder,
    );
    expect(await peers.borrow(server.address, REQUEST)).toBe(5);
    expect(await peers.handOver(server.address, HANDOVER)).toBe(true);
    expect(holder.handovers).toMatchObject([HANDOVER]);
    await server.close();
  });

  it('outlives a peer that ends while it is asked', async () => {
    // Every caller of this host sees its connection break. Another host stops and
    // ends its connections; a call to it fails and gives its connection up at the
    // same time. Over HTTP/2 an error escaped then, in 10 of 300 rounds.
    for (let round = 0; round < 150; round++) {
      const server = await LoanServer.listen(
        {address: '127.0.0.1', port: 0},
        holder,
      );
      await peers.borrow(server.address, REQUEST);
      const closing = server.close();
      for (let turns = 0; turns < round % 30; turns++) {
        await nextTurn();
      }
      const calls = [1, 2].map(() =>
        peers.borrow(server.address, REQUEST).catch(() => 0),
      );
      if (round % 3 === 0) {
        peers.close();
      }
      await Promise.all(calls);
      await closing;
    }
    await nextTurn();
    expect(uncaughtErrors).toEqual([]);
  });
});

describe('ConnectLoanPeers behind a full link', () => {
  const IDLE_LIMIT = 120;
  const DELAY = 400;
  const LONGEST_LIMIT = 1_000;
  const LATE_LIMIT = 5_000;
  let holder: DeferredLoanHolder;
  let server: LoanServer;
  let link: FakeHostLink;
  let peers: ConnectLoanPeers;

  beforeEach(async () => {
    holder = new DeferredLoanHolder();
    server = await LoanServer.listen({address: '127.0.0.1', port: 0}, holder);
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
    link = new FakeHostLink();
    peers = new ConnectLoanPeers(link);
  });

  afterEach(async () => {
    peers.close();
    vi.useRealTimers();
    await server.close();
  });

  /** Asks for a loan that is answered after so long; undefined for none. */
  async function borrowAfter(
    milliseconds: number,
  ): Promise<number | undefined> {
    const loan = peers.borrow(server.address, REQUEST).catch(() => undefined);
    await holder.asked();
    vi.advanceTimersByTime(milliseconds);
    await nextTurn();
    await nextTurn();
    await holder.answer();
    return loan;
  }

  it('waits for a loan as long as the link delays the connection and the answer', async () => {
    // Guards against lenders that are taken for silent by a host that is late itself.
    link.delayMilliseconds = DELAY;
    expect(await borrowAfter(IDLE_LIMIT + 2 * DELAY - 1)).toBe(5);
    expect(await borrowAfter(IDLE_LIMIT + DELAY - 1)).toBe(5);
    expect(await borrowAfter(IDLE_LIMIT + DELAY)).toBeUndefined();
  });

  it('waits a second at the most', async () => {
    // Guards against a frozen lender that holds up all loans of an organisation.
    link.delayMilliseconds = 2_000;
    expect(await borrowAfter(LONGEST_LIMIT - 1)).toBe(5);
    expect(await borrowAfter(LONGEST_LIMIT)).toBeUndefined();
  });

  it('takes a loan that its own late link held up beyond the limit', async () => {
    // Guards against tokens that stay lent as their borrower has closed the connection.
    link.delayMilliseconds = DELAY;
    const connecting = vi.spyOn(Agent.prototype, 'createConnection');
    const late: Promise<number>[] = [];
    const loan = peers.borrow(server.address, REQUEST, answer => {
      late.push(answer);
    });
    await holder.asked();
    vi.advanceTimersByTime(LONGEST_LIMIT);
    expect(await loan).toBeUndefined();
    await holder.answer();
    expect(await Promise.all(late)).toEqual([5]);
    expect(await borrowAfter(0)).toBe(5);
    expect(connecting).toHaveBeenCalledTimes(1);
    connecting.mockRestore();
  });

  it('gives a loan up that its own late link does not bring in seconds', async () => {
    // Guards against connections to frozen lenders that are kept for good.
    link.delayMilliseconds = DELAY;
    const late: Promise<number>[] = [];
    const loan = peers.borrow(server.address, REQUEST, answer => {
      late.push(answer);
    });
    await holder.asked();
    vi.advanceTimersByTime(LONGEST_LIMIT);
    expect(await loan).toBeUndefined();
    expect(late).toHaveLength(1);
    vi.advanceTimersByTime(LATE_LIMIT);
    await expect(Promise.all(late)).rejects.toBeInstanceOf(StepError);
  });

  it('waits no longer than before once the link is free', async () => {
    // Guards against requests that wait for silent lenders.
    link.delayMilliseconds = DELAY;
    expect(await borrowAfter(0)).toBe(5);
    link.delayMilliseconds = 0;
    expect(await borrowAfter(IDLE_LIMIT - 1)).toBe(5);
    expect(await borrowAfter(IDLE_LIMIT)).toBeUndefined();
    expect(await borrowAfter(IDLE_LIMIT)).toBeUndefined();
  });
});
