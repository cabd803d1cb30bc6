import {
  create,
  toBinary,
  type DescMessage,
  type MessageInitShape,
} from '@bufbuild/protobuf';
import {
  BillSchema,
  BudgetPreference,
  ConfigurationSchema,
  KeeperMessageSchema,
  LedgerBatchSchema,
  LedgerEntrySchema,
  RouterMessageSchema,
  BeginVerdict,
  EndpointState,
  Outcome,
  ServiceKind,
  type Bill,
  type Configuration,
  type LedgerEntry,
} from '@wisteriadeal/schema';

const ORGANISATION = 'organisation-with-a-usual-name';
const REQUEST_ID = `req_${'0'.repeat(32)}`;
const ATTEMPT_ID = `${REQUEST_ID}.01234567`;
const INCARNATION = 'kigali-1-host-1/keeper/0123456789ab';
const GRANT_ID = `grant-${'0'.repeat(32)}`;
const ENDPOINT = 'kigali-1-engine-1';
const CONTENT_DIGEST = '0'.repeat(64);

/** Returns the encoded size of a message in bytes. */
function bytesOf<Schema extends DescMessage>(
  schema: Schema,
  message: MessageInitShape<Schema>,
): number {
  return toBinary(schema, create(schema, message)).byteLength;
}

/** Returns a bill with the fields that a keeper sets. */
export function sampleBill(index: number): Bill {
  return create(BillSchema, {
    requestId: `req_${index.toString(16).padStart(32, '0')}`,
    grantId: GRANT_ID,
    tokens: 320,
    promptTokens: 120,
    completionTokens: 200,
    confirmed: true,
    outcome: Outcome.ANSWERED,
    attemptId: ATTEMPT_ID,
    endpoint: ENDPOINT,
    caller: 'app',
  });
}

/** Returns the ledger entry that contains a sample bill. */
export function sampleBillEntry(index: number): LedgerEntry {
  const bill = sampleBill(index);
  return create(LedgerEntrySchema, {
    entryId: `bill:${bill.requestId}`,
    organisation: ORGANISATION,
    kind: {case: 'bill', value: bill},
  });
}

/** Returns a top-up and a grant, which the ledger needs to accept the sample bills. */
export function sampleOpening(tokens: number): LedgerEntry[] {
  return [
    create(LedgerEntrySchema, {
      entryId: 'opening',
      organisation: ORGANISATION,
      kind: {case: 'topUp', value: {tokens, operator: '', reason: ''}},
    }),
    create(LedgerEntrySchema, {
      entryId: GRANT_ID,
      organisation: ORGANISATION,
      kind: {
        case: 'grant',
        value: {
          grantId: GRANT_ID,
          tokens,
          minimumTokens: 1,
          holder: INCARNATION,
          witness: INCARNATION,
          dataCenter: 'kigali-1',
        },
      },
    }),
  ];
}

/**
 * Returns the sizes in bytes of the messages that one request adds to the router's
 * session with its keeper.
 */
export function requestMessageBytes(): Readonly<Record<string, number>> {
  const begin = bytesOf(RouterMessageSchema, {
    kind: {
      case: 'begin',
      value: {
        sequence: 1_000,
        requestId: REQUEST_ID,
        organisation: ORGANISATION,
        caller: 'app',
        fingerprint: CONTENT_DIGEST,
        boundTokens: 640,
        attemptId: ATTEMPT_ID,
        service: 'tutor-models',
        idempotent: true,
        endpoint: ENDPOINT,
      },
    },
  });
  const beginAnswer = bytesOf(KeeperMessageSchema, {
    kind: {
      case: 'beginAnswer',
      value: {
        sequence: 1_000,
        requestId: REQUEST_ID,
        verdict: BeginVerdict.RESERVED,
        grantId: GRANT_ID,
        holder: INCARNATION,
        witness: INCARNATION,
      },
    },
  });
  const dispatching = bytesOf(RouterMessageSchema, {
    kind: {
      case: 'dispatching',
      value: {
        requestId: REQUEST_ID,
        attempt: {attemptId: ATTEMPT_ID, endpoint: ENDPOINT},
      },
    },
  });
  const settle = bytesOf(RouterMessageSchema, {
    kind: {
      case: 'settle',
      value: {
        requestId: REQUEST_ID,
        organisation: ORGANISATION,
        grantId: GRANT_ID,
        bill: sampleBill(0),
      },
    },
  });
  const settleAnswer = bytesOf(KeeperMessageSchema, {
    kind: {case: 'settleAnswer', value: {requestId: REQUEST_ID}},
  });
  return {begin, beginAnswer, dispatching, settle, settleAnswer};
}

const BATCHED_BILLS = 100;

/** Returns the bytes that one bill takes in the log, when 100 bills share a batch. */
export function billRecordBytes(): number {
  const entries = Array.from({length: BATCHED_BILLS}, (_, index) =>
    sampleBillEntry(index),
  );
  const batch = create(LedgerBatchSchema, {writer: INCARNATION, entries});
  return toBinary(LedgerBatchSchema, batch).byteLength / BATCHED_BILLS;
}

/** Numbers of the items that determine a configuration's size. */
export interface ConfigurationSize {
  readonly organisations: number;
  readonly endpoints: number;
  readonly models: number;
  readonly dataCenters: number;
}

const SLOTS = 64;
const LOWEST_PORT = 1_024;
const PORTS = 60_000;

/** Returns a valid configuration of the given size. */
export function sampleConfiguration(size: ConfigurationSize): Configuration {
  const models = Array.from({length: size.models}, (_, index) => ({
    name: `model-${index}`,
    maximumOutputTokens: 4_096,
    defaultOutputTokens: 512,
    minimumBytesPerPromptToken: 1,
  }));
  return create(ConfigurationSchema, {
    schemaRevision: 1,
    models,
    services: [
      {
        name: 'tutor-models',
        kind: ServiceKind.MODEL,
        models: models.map(({name}) => name),
      },
    ],
    endpoints: Array.from({length: size.endpoints}, (_, index) => ({
      name: `engine-${index}`,
      service: 'tutor-models',
      dataCenter: `data-center-${index % size.dataCenters}`,
      address: `10.0.0.1:${LOWEST_PORT + (index % PORTS)}`,
      state: EndpointState.ACTIVE,
      slots: SLOTS,
    })),
    organisations: Array.from({length: size.organisations}, (_, index) => ({
      name: `organisation-${index}`,
      callers: [
        {
          name: 'app',
          credentialSha256: index.toString(16).padStart(64, '0'),
        },
      ],
      services: ['tutor-models'],
      openingBudgetTokens: 1_000_000,
      weight: 1,
      budgetPreference: BudgetPreference.AVOID_REFUSALS,
    })),
    limits: {
      maximumBodyBytes: 1_048_576,
      requestReceiveTimeoutMilliseconds: 10_000,
      interactiveDeadlineMilliseconds: 10_000,
      batchDeadlineMilliseconds: 600_000,
      keptAnswerMilliseconds: 600_000,
    },
  });
}
