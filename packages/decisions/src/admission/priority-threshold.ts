import {
  AdmissionVerdict,
  EngineAdmission,
  type AdmissionDecision,
  type AdmissionRequest,
  type DecidedRequest,
  type SentRequest,
} from './engine-admission.js';
import {retryDelay} from './retry-delay.js';
import {SEND_ALL} from './send-all.js';

/** The threshold is adjusted once in this time, in milliseconds. */
const ADJUST_MILLISECONDS = 250;
/** Part that may begin late without lowering the threshold. */
const LATE_SHARE = 0.2;
const LOWERED_SHARE = 0.3;
const RAISED_BY = 0.05;
/** Where everything is sent. */
const HIGHEST = 10;

/**
 * Baseline for measurements: a threshold on the priority, whose fraction is the part of
 * that priority which is sent. It falls while many requests begin late and rises slowly
 * otherwise (DAGOR, Zhou et al., 2018).
 */
export class PriorityThreshold extends EngineAdmission<AdmissionRequest> {
  private threshold = HIGHEST;
  private highestPriority = 0;
  private adjustedAt = 0;
  private late = 0;
  private begun = 0;
  private credit = 0;

  /** @param fraction Random number from 0 to below 1. */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override offer(request: AdmissionRequest, now: number): AdmissionDecision {
    const {priority, objectiveMilliseconds, deadlineAt} = request;
    this.highestPriority = Math.max(this.highestPriority, priority);
    if (now - this.adjustedAt >= ADJUST_MILLISECONDS && this.begun > 0) {
      this.adjust(now);
    }
    const share = Math.min(1, Math.max(0, this.threshold - priority));
    this.credit = Math.min(1, this.credit + share);
    if (share >= 1 || this.credit >= 1) {
      this.credit -= share >= 1 ? 0 : 1;
      return SEND_ALL;
    }
    const load = {
      expectedMilliseconds: objectiveMilliseconds,
      objectiveMilliseconds,
      sentShare: share,
      remainingMilliseconds: deadlineAt - now,
    };
    return {
      ...SEND_ALL,
      verdict: AdmissionVerdict.Refuse,
      retryAfterMilliseconds: retryDelay(load, this.fraction()),
    };
  }

  override advance(): readonly DecidedRequest<AdmissionRequest>[] {
    return [];
  }

  override remove(): void {
    // Nothing is queued.
  }

  override sent(): void {
    // Only begins are counted.
  }

  override began(request: SentRequest, now: number): void {
    const {sentAt, objectiveMilliseconds} = request;
    this.begun++;
    this.late += now - sentAt > objectiveMilliseconds ? 1 : 0;
  }

  override refused(): void {
    this.begun++;
    this.late++;
  }

  override ended(): void {
    // Only begins are counted.
  }

  private adjust(now: number): void {
    const highest = this.highestPriority + 1;
    const threshold = Math.min(highest, this.threshold);
    const isLate = this.late > LATE_SHARE * this.begun;
    const fraction = threshold - Math.ceil(threshold) + 1;
    this.threshold = isLate
      ? threshold - LOWERED_SHARE * fraction
      : Math.min(highest, threshold + RAISED_BY);
    this.adjustedAt = now;
    this.late = 0;
    this.begun = 0;
  }
}
