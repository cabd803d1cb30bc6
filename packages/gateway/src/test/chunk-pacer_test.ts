import fc from 'fast-check';
import {expect, it} from 'vitest';

import {
  ChunkPacer,
  CONNECTION_TURN_BYTES,
  MINIMUM_TURN_BYTES,
  TURN_BYTES,
  TurnBudget,
} from '../input-limits/index.js';

/** A connection whose bytes are passed on one turn after the other. */
class PacedConnection {
  readonly passed: Buffer[] = [];
  bytesThisTurn = 0;
  isCut = false;
  isDone = false;

  constructor(private readonly budget: TurnBudget) {}

  async send(chunks: readonly Buffer[]): Promise<void> {
    const pacer = new ChunkPacer(this.budget, {
      consume: part => {
        this.passed.push(part);
        this.bytesThisTurn += part.length;
        return undefined;
      },
      isCut: () => this.isCut,
      deferred: () => undefined,
    });
    for (const chunk of chunks) {
      await pacer.pass(chunk);
    }
    this.isDone = true;
  }
}

/** Settles all promises that are not awaiting a turn. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function chunkOf(length: number, seed: number): Buffer {
  return Buffer.alloc(length, `part ${seed} of 0123456789`);
}

it('passes on all bytes in order, and in each turn no more than a share', async () => {
  // Guards against a connection that takes the event loop for as long as it has bytes.
  const sizes = fc.array(fc.nat({max: 3 * CONNECTION_TURN_BYTES}), {
    maxLength: 4,
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(sizes, {minLength: 1, maxLength: 12}),
      async plan => {
        let nextTurn: () => void = () => undefined;
        const budget = new TurnBudget(callback => {
          nextTurn = callback;
        });
        const connections = plan.map(() => new PacedConnection(budget));
        const sent = plan.map(lengths => lengths.map(chunkOf));
        const ended = connections.map((connection, index) =>
          connection.send(sent[index] ?? []),
        );
        await settle();
        while (connections.some(({isDone}) => !isDone)) {
          let total = 0;
          for (const connection of connections) {
            expect(connection.bytesThisTurn).toBeLessThanOrEqual(
              CONNECTION_TURN_BYTES,
            );
            total += connection.bytesThisTurn;
            connection.bytesThisTurn = 0;
          }
          expect(total).toBeLessThanOrEqual(
            TURN_BYTES +
              CONNECTION_TURN_BYTES +
              MINIMUM_TURN_BYTES * connections.length,
          );
          nextTurn();
          await settle();
        }
        await Promise.all(ended);
        for (const [index, {passed}] of connections.entries()) {
          const whole = Buffer.concat(sent[index] ?? []);
          expect(Buffer.concat(passed).equals(whole)).toBe(true);
        }
      },
    ),
    {numRuns: 40, seed: 85},
  );
});

it('passes on a chunk of a connection that has used nothing in the same turn', () => {
  // Guards against events of sound streams that wait for those of a flood.
  const budget = new TurnBudget(() => undefined);
  for (
    let count = 0;
    count < 2 * (TURN_BYTES / CONNECTION_TURN_BYTES);
    count++
  ) {
    void new PacedConnection(budget).send([chunkOf(CONNECTION_TURN_BYTES, 0)]);
  }
  const sound = new PacedConnection(budget);
  void sound.send([chunkOf(200, 0)]);
  expect(sound.bytesThisTurn).toBe(200);
});

it('drops the rest of an answer that has been cut', async () => {
  // Guards against work on floods after their callers have left.
  let nextTurn: () => void = () => undefined;
  const budget = new TurnBudget(callback => {
    nextTurn = callback;
  });
  const connection = new PacedConnection(budget);
  const ended = connection.send([chunkOf(2 * CONNECTION_TURN_BYTES, 0)]);
  connection.isCut = true;
  nextTurn();
  await ended;
  expect(connection.bytesThisTurn).toBe(CONNECTION_TURN_BYTES);
});
