import {
  Fate,
  StepError,
  type LogClient,
  type LogPage,
} from '@wisteriadeal/platform';

const PAGE_RECORDS = 500;

/** How the records of one kind of stream become state. */
export abstract class FoldSource<Fold extends {readonly nextOffset: number}> {
  /** A fold that has read nothing. */
  abstract empty(): Fold;

  /** A fold from a record that is a valid checkpoint; else undefined. */
  abstract fromCheckpoint(payload: Uint8Array): Fold | undefined;

  /** Applies the next record. */
  abstract apply(fold: Fold, offset: number, payload: Uint8Array): void;
}

/**
 * Folds a stream from its start, or, once its first records have expired, from a
 * checkpoint.
 *
 * The log keeps records for a limited time. A reader that folded only what is
 * left would hold another state than everybody else: an operator would be told
 * that version 2 is in force where it is 4,002. So without the first record
 * nothing is folded until a checkpoint is found.
 */
export class StreamReader<Fold extends {readonly nextOffset: number}> {
  private currentFold: Fold;
  private position = 0;
  private seekingCheckpoint = false;

  constructor(
    private readonly log: LogClient,
    readonly stream: string,
    private readonly source: FoldSource<Fold>,
  ) {
    this.currentFold = source.empty();
  }

  /** The state as far as it was read. */
  get fold(): Fold {
    return this.currentFold;
  }

  /**
   * Reads and folds one page.
   *
   * @param waitMilliseconds Waits up to this long for a new record.
   * @returns Whether the end of the stream, as far as known, is reached.
   * @throws StepError when the log can't be read.
   */
  async readOn(
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<boolean> {
    const page = await this.log.read(
      this.stream,
      this.position,
      PAGE_RECORDS,
      waitMilliseconds,
      signal,
    );
    if (page.firstOffset > this.position) {
      this.seekingCheckpoint = true;
    }
    this.position = page.nextOffset;
    if (this.seekingCheckpoint) {
      this.seekCheckpoint(page);
    } else {
      for (const {offset, payload} of page.records) {
        this.source.apply(this.currentFold, offset, payload);
      }
    }
    return this.position >= page.endOffset;
  }

  /**
   * Reads up to the end.
   *
   * @throws StepError when the log can't be read, or when its first records have
   *     expired and no checkpoint is found.
   * @example
   * ```ts
   * await reader.readToEnd();
   * print(reader.fold.version);
   * ```
   */
  async readToEnd(signal?: AbortSignal): Promise<Fold> {
    while (!(await this.readOn(0, signal))) {
      signal?.throwIfAborted();
    }
    if (this.seekingCheckpoint) {
      throw new StepError(
        'read a stream from its checkpoint',
        this.stream,
        Fate.NotDone,
        'the first records have expired and no checkpoint was found',
      );
    }
    return this.currentFold;
  }

  /**
   * Looks for a checkpoint whose following records are all still there. Reading
   * goes on right behind its state: records between that and the checkpoint's own
   * place were not folded while seeking.
   */
  private seekCheckpoint(page: LogPage): void {
    for (const {payload} of page.records) {
      const fold = this.source.fromCheckpoint(payload);
      if (fold !== undefined && fold.nextOffset >= page.firstOffset) {
        this.currentFold = fold;
        this.position = fold.nextOffset;
        this.seekingCheckpoint = false;
        return;
      }
    }
  }
}
