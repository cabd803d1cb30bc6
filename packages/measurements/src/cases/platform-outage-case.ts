import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const LOST_ANSWER_SHARE = 0.1;
const BASELINE_MILLISECONDS = 3_000;
const OUTAGE_MILLISECONDS = 10_000;
const PHASE_MILLISECONDS = 4_000;
const ANSWER_DELAY_MILLISECONDS = 400;

/**
 * The platform's log and host list are unavailable, then slow; 10 % of the appends lose
 * their answer before and after the outage.
 */
export class PlatformOutageCase extends FleetCase {
  override readonly name = 'platform-outage';
  override readonly description =
    'answers to 10 % of the appends lost throughout; log and host list unavailable for 10 s, then delayed by 400 ms for 4 s';

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    const lostAnswers = {loseAnswerShare: LOST_ANSWER_SHARE};
    let outageStartedAt = 0;
    let outageEndedAt = 0;
    await fleet.setPlatformFaults(lostAnswers);
    await run.loadWhile(async () => {
      await pause(BASELINE_MILLISECONDS);
      outageStartedAt = performance.now();
      await fleet.setPlatformFaults({logOutage: true, listOutage: true});
      await pause(OUTAGE_MILLISECONDS);
      outageEndedAt = performance.now();
      const slow = {delayMilliseconds: ANSWER_DELAY_MILLISECONDS};
      await fleet.setPlatformFaults({...lostAnswers, ...slow});
      await pause(PHASE_MILLISECONDS);
      await fleet.setPlatformFaults(lostAnswers);
      await pause(PHASE_MILLISECONDS);
    });
    await fleet.setPlatformFaults({});
    const {records} = run.load;
    return {
      ...spanFields('before', records, 0, outageStartedAt),
      ...spanFields('outage', records, outageStartedAt, outageEndedAt),
      ...spanFields('after', records, outageEndedAt, Infinity),
    };
  }
}
