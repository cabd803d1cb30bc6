/** What bytes from outside are held for, as it appears in metrics and the state dump. */
export enum HeldKind {
  /** The body of an endpoint's answer, until it is complete and sent. */
  Answer = 'answer',
  /** An event of an endpoint's stream that is not complete. */
  Event = 'event',
  /** The body of a caller's request. */
  RequestBody = 'request-body',
  /** An answer that its caller has not read. */
  UnreadAnswer = 'unread-answer',
}
