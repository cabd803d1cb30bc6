import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const LOST_SHARE = 0.1;
const BEFORE_MILLISECONDS = 3_000;
const OUTAGE_MILLISECONDS = 10_000;
const SLOW_MILLISECONDS = 4_000;
const SLOW_ANSWER_MILLISECONDS = 400;

/** The platform's log is away, then slow; one append in ten loses its answer. */
export class PlatformOutageCase extends FleetCase {
  override readonly name = 'platform-outage';
  override readonly description =
    'one append in ten loses its answer throughout; log and list away for 10 s, then 400 ms slow for 4 s';

  protected override options(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    const lost = {loseAnswerShare: LOST_SHARE};
    let awayAt = 0;
    let backAt = 0;
    await fleet.setPlatformFaults(lost);
    await run.loadWhile(async () => {
      await pause(BEFORE_MILLISECONDS);
      awayAt = performance.now();
      await fleet.setPlatformFaults({logOutage: true, listOutage: true});
      await pause(OUTAGE_MILLISECONDS);
      backAt = performance.now();
      const slow = {delayMilliseconds: SLOW_ANSWER_MILLISECONDS};
      await fleet.setPlatformFaults({...lost, ...slow});
      await pause(SLOW_MILLISECONDS);
      await fleet.setPlatformFaults(lost);
      await pause(SLOW_MILLISECONDS);
    });
    await fleet.setPlatformFaults({});
    const {records} = run.load;
    return {
      ...spanFields('before', records, 0, awayAt),
      ...spanFields('outage', records, awayAt, backAt),
      ...spanFields('after', records, backAt, Infinity),
    };
  }
}
