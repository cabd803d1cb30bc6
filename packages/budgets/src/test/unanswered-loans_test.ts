import {describe, expect, it} from 'vitest';

import {FleetModel} from './fleet-model.js';
import {UnansweredLoans} from '../unanswered-loans.js';

describe('UnansweredLoans', () => {
  it('credits a loan whose answer was lost when its record is read', () => {
    // Guards against refusals after an outage. A lender deducted tokens from its account
    // and stalled before it answered, so that no account held them.
    const loans = new UnansweredLoans();
    loans.requested('a');
    expect(loans.answerLost('a')).toBe(0);
    expect(loans.recordFolded('a', 700)).toBe(700);
    expect(loans.recordFolded('a', 700)).toBe(0);
  });

  it('credits nothing for the record of an answered loan', () => {
    const loans = new UnansweredLoans();
    loans.requested('a');
    loans.answered('a');
    expect(loans.recordFolded('a', 700)).toBe(0);
  });

  it('waits for the end of the call when the record comes first', () => {
    // The lender's record is on the log before its answer arrives or is lost.
    const loans = new UnansweredLoans();
    loans.requested('answered');
    loans.requested('lost');
    expect(loans.recordFolded('answered', 500)).toBe(0);
    expect(loans.recordFolded('lost', 700)).toBe(0);
    loans.answered('answered');
    expect(loans.recordFolded('answered', 500)).toBe(0);
    expect(loans.answerLost('lost')).toBe(700);
    expect(loans.recordFolded('lost', 700)).toBe(0);
  });

  it('credits a loan once when its answer comes after the call was abandoned', () => {
    // Guards against tokens that are credited never or twice after a late answer.
    const loans = new UnansweredLoans();
    loans.requested('answered first');
    loans.requested('recorded first');
    loans.answerLost('answered first');
    loans.answerLost('recorded first');
    expect(loans.answeredLate('answered first', 700)).toBe(700);
    expect(loans.recordFolded('answered first', 700)).toBe(0);
    expect(loans.recordFolded('recorded first', 500)).toBe(500);
    expect(loans.answeredLate('recorded first', 500)).toBe(0);
  });

  it('leaves no lost tokens once the log has been read', () => {
    const fleet = new FleetModel(2, 10_000);
    fleet.flush(0);
    fleet.flush(1);
    fleet.requestGrant(0, 4_000, 4_000, true);
    fleet.flush(0);
    fleet.lend(0, 1, 2_000, true);
    expect(fleet.held).toBe(2_000);
    fleet.flush(0);
    expect(fleet.held).toBe(4_000);
  });
});
