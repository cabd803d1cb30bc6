/**
 * Pure decisions under load: admit, queue, refuse, place, shift.
 */
export {};
