import {readFileSync} from 'node:fs';

const CLOCK_TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** Fields of /proc/PID/stat after the command's name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What a process has used so far, as the kernel counts it. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentMegabytes: number;
  /** Bytes read and written, sockets and log lines included. */
  readonly bytes: number;
}

function numberAfter(text: string, label: string): number {
  const match = new RegExp(`^${label}:\\s+(\\d+)`, 'm').exec(text);
  return Number(match?.[1] ?? 0);
}

/**
 * Reads the kernel's counters of a process (proc(5)).
 *
 * @throws Error where there is no such process or no /proc.
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    residentMegabytes: numberAfter(status, 'VmRSS') / KILOBYTES_PER_MEGABYTE,
    bytes: numberAfter(io, 'rchar') + numberAfter(io, 'wchar'),
  };
}
