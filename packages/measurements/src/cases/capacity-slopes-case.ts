import {create, toBinary} from '@bufbuild/protobuf';
import {
  HolderBook,
  LedgerFold,
  validateConfiguration,
  WitnessBook,
} from '@wisteriadeal/ledger';
import {
  ConfigurationSchema,
  LedgerBatchSchema,
  LedgerCheckpointSchema,
  RequestReservationSchema,
  type BookChange,
} from '@wisteriadeal/schema';

import {
  billRecordBytes,
  requestMessageBytes,
  sampleBill,
  sampleBillEntry,
  sampleConfiguration,
  sampleOpening,
  type ConfigurationSize,
} from '../capacity-messages.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';
import {processorMicroseconds} from '../processor-meter.js';

const AMPLE_TOKENS = 1_000_000_000;
const REPETITIONS = 20_000;
const CONFIGURATION_REPETITIONS = 3;

/** The letter's sizes. */
const FULL_SIZE: ConfigurationSize = {
  organisations: 3_300,
  endpoints: 10_000,
  models: 32,
  dataCenters: 35,
};
const TODAY: ConfigurationSize = {
  organisations: 10,
  endpoints: 12,
  models: 2,
  dataCenters: 4,
};

/** Decoding and folding one bill that stands alone in its record. */
function foldBillMicroseconds(): number {
  const fold = new LedgerFold();
  fold.applyBatch(
    0,
    create(LedgerBatchSchema, {entries: sampleOpening(AMPLE_TOKENS)}),
  );
  const payloads = Array.from({length: 2 * REPETITIONS}, (_, index) => {
    const entries = [sampleBillEntry(index)];
    return toBinary(LedgerBatchSchema, create(LedgerBatchSchema, {entries}));
  });
  return processorMicroseconds(REPETITIONS, index => {
    fold.apply(index + 1, payloads[index] ?? new Uint8Array());
  });
}

function checkpointBytesEachBill(): number {
  const bytesWith = (bills: number) => {
    const fold = new LedgerFold();
    const entries = [
      ...sampleOpening(AMPLE_TOKENS),
      ...Array.from({length: bills}, (_, index) => sampleBillEntry(index)),
    ];
    fold.applyBatch(0, create(LedgerBatchSchema, {entries}));
    return toBinary(LedgerCheckpointSchema, fold.toCheckpoint()).byteLength;
  };
  return (bytesWith(REPETITIONS) - bytesWith(0)) / REPETITIONS;
}

/** One request in the books of its holder and its witness, without sockets. */
function bookMicroseconds(): number {
  const book = new HolderBook({
    grantId: sampleBill(0).grantId,
    organisation: 'organisation',
    tokens: AMPLE_TOKENS,
    holder: 'holder',
    dataCenter: 'kigali-1',
  });
  const witness = new WitnessBook();
  const tell = (change: BookChange | undefined) => {
    if (change !== undefined) {
      witness.apply(change);
    }
  };
  tell(book.opened());
  return processorMicroseconds(REPETITIONS, index => {
    const bill = sampleBill(index);
    const {requestId, attemptId, endpoint, caller} = bill;
    tell(
      book.reserve(
        create(RequestReservationSchema, {
          reservation: {
            requestId,
            boundTokens: bill.tokens,
            attemptId,
            endpoint,
            caller,
          },
          router: 'router',
          fingerprint: '',
          idempotent: true,
        }),
      ),
    );
    tell(book.settle(bill));
    book.billFolded(requestId);
    witness.billFolded(bill.grantId, requestId);
  });
}

function configurationSlope(size: ConfigurationSize) {
  const configuration = sampleConfiguration(size);
  const bytes = toBinary(ConfigurationSchema, configuration).byteLength;
  const validateMilliseconds =
    processorMicroseconds(CONFIGURATION_REPETITIONS, () => {
      validateConfiguration(configuration);
    }) / 1_000;
  return {
    organisations: size.organisations,
    endpoints: size.endpoints,
    bytes,
    validateMilliseconds: Math.round(validateMilliseconds),
    problems: validateConfiguration(configuration).length,
  };
}

/**
 * Slopes of the pure parts, without sockets: what one bill, one request and one
 * organisation cost in processor time and bytes.
 */
export class CapacitySlopesCase extends MeasureCase {
  override readonly name = 'capacity-slopes';
  override readonly description =
    'processor time and bytes of one bill, request and organisation; no processes';

  override run(): Promise<CaseResult> {
    const full = configurationSlope(FULL_SIZE);
    const fields = {
      foldBillMicroseconds: foldBillMicroseconds(),
      booksEachRequestMicroseconds: bookMicroseconds(),
      billRecordBytes: Math.round(billRecordBytes()),
      checkpointBytesEachRememberedBill: Math.round(checkpointBytesEachBill()),
      requestMessageBytes: requestMessageBytes(),
      configurationToday: configurationSlope(TODAY),
      configurationFullSize: full,
    };
    return Promise.resolve({fields, passed: full.problems === 0});
  }
}
