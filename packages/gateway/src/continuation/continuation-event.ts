/** What happens to copies of runs, as it appears in metrics. */
export enum ContinuationEvent {
  /** A run began whose memory is copied to a second endpoint. */
  CopyAsked = 'copy-asked',
  /** A run went on from a copy. */
  Continued = 'continued',
  /** The endpoint that was to go on states that it has no copy. */
  CopyMissing = 'copy-missing',
  /** An endpoint that leaves was asked to move a run. */
  MoveAsked = 'move-asked',
  /** The run was not moved, and goes on where it is. */
  MoveRefused = 'move-refused',
  /** An endpoint was lost whose run had a copy, which was not asked for. */
  NotContinued = 'not-continued',
}
