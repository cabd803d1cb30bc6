/**
 * Maximum size of a message from another host, bytes; it is held in memory. The largest
 * ones tell of 20,000 streams.
 */
export const MAXIMUM_PEER_MESSAGE_BYTES = 4_194_304;
