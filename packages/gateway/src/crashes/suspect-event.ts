/** What happened to suspected requests, in logs and as a label of a metric. */
export enum SuspectEvent {
  Crash = 'crash',
  /** A crash was taken back, because its endpoint lives. */
  Withdrawn = 'withdrawn',
  /** A suspected request was answered. */
  Cleared = 'cleared',
  Tried = 'tried',
  Refused = 'refused',
}
