/** What comes of a stream that its caller takes up, in logs and as a label of a metric. */
export enum TakeUp {
  Admitted = 'admitted',
  /** It is not known what began it. */
  Unknown = 'unknown',
  /** All endpoints of its build were lost, and may be back. */
  Lost = 'lost',
  /** Its build has no endpoint any more, or its service no route. */
  Gone = 'gone',
}
