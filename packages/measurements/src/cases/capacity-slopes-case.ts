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

/** The full size that the requirements name. */
const FULL_SIZE: ConfigurationSize = {
  organisations: 3_300,
  endpoints: 10_000,
  models: 32,
  dataCenters: 35,
};
const CURRENT_SIZE: ConfigurationSize = {
  organisations: 10,
  endpoints: 12,
  models: 2,
  dataCenters: 4,
};

/**
 * Processor time of decoding and folding one bill that is the only entry of its record.
 */
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

/** Growth of a ledger checkpoint for each bill that it remembers, in bytes. */
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

/**
 * Processor time of one request in the holder's and the witness's book, without
 * sockets.
 */
function bookkeepingMicroseconds(): number {
  const book = new HolderBook({
    grantId: sampleBill(0).grantId,
    organisation: 'organisation',
    tokens: AMPLE_TOKENS,
    holder: 'holder',
    dataCenter: 'kigali-1',
  });
  const witness = new WitnessBook();
  const applyToWitness = (change: BookChange | undefined) => {
    if (change !== undefined) {
      witness.apply(change);
    }
  };
  applyToWitness(book.createOpenedChange());
  return processorMicroseconds(REPETITIONS, index => {
    const bill = sampleBill(index);
    const {requestId, attemptId, endpoint, caller} = bill;
    applyToWitness(
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
    applyToWitness(book.settle(bill));
    book.removeFoldedBill(requestId);
    witness.removeFoldedBill(bill.grantId, requestId);
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
 * Measures how costs grow without processes or sockets: the processor time and bytes
 * of one bill, one request and one organisation.
 */
export class CapacitySlopesCase extends MeasureCase {
  override readonly name = 'capacity-slopes';
  override readonly description =
    'processor time and bytes per bill, request and organisation; starts no processes';

  override run(): Promise<CaseResult> {
    const full = configurationSlope(FULL_SIZE);
    const fields = {
      foldBillMicroseconds: foldBillMicroseconds(),
      booksEachRequestMicroseconds: bookkeepingMicroseconds(),
      billRecordBytes: Math.round(billRecordBytes()),
      checkpointBytesEachRememberedBill: Math.round(checkpointBytesEachBill()),
      requestMessageBytes: requestMessageBytes(),
      configurationToday: configurationSlope(CURRENT_SIZE),
      configurationFullSize: full,
    };
    return Promise.resolve({fields, passed: full.problems === 0});
  }
}
