/** Outcome of a connect, as a label of its metric. */
export enum ConnectResult {
  Connected = 'connected',
  Failed = 'failed',
}
