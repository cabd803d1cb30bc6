import {
  Fate,
  StepError,
  type LogClient,
  type LogPage,
} from '@wisteriadeal/platform';

const PAGE_RECORDS = 500;

/** Folds the records of one kind of stream into state. */
export abstract class FoldSource<Fold extends {readonly nextOffset: number}> {
  /** Returns the state before the first record. */
  abstract empty(): Fold;

  /** Returns the state of a valid checkpoint record; undefined for others. */
  abstract fromCheckpoint(payload: Uint8Array): Fold | undefined;

  /** Applies the next record. */
  abstract apply(fold: Fold, offset: number, payload: Uint8Array): void;
}

/**
 * Folds a stream from its start or, if its first records have expired, from a
 * checkpoint.
 *
 * The log keeps records for a limited time. A reader that folded only the
 * remaining ones would reach a different state than other readers; for example,
 * it would report version 2 in force when it is 4,002. If the first record is
 * gone, nothing is folded until a checkpoint is found.
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

  /** The state after the records read so far. */
  get fold(): Fold {
    return this.currentFold;
  }

  /**
   * Reads and folds one page.
   *
   * @param waitMilliseconds How long to wait for a new record at the end of the
   *     stream.
   * @returns Whether the end of the stream that the log reported is reached.
   * @throws StepError if the log can't be read.
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
   * Reads and folds all records up to the end of the stream.
   *
   * @throws StepError if the log can't be read, or if the first records have
   *     expired and there is no checkpoint.
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
   * Looks for a checkpoint after whose state no record has expired. The next
   * read starts at the first record that the checkpoint's state doesn't cover:
   * records between it and the checkpoint itself were not folded while seeking.
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
