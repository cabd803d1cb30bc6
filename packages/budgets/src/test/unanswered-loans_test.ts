import {describe, expect, it} from 'vitest';

import {FleetModel} from './fleet-model.js';
import {UnansweredLoans} from '../unanswered-loans.js';

describe('UnansweredLoans', () => {
  it('brings a loan whose answer was lost when its record is read', () => {
    // The caller sees its requests served after an outage. A lender took tokens off
    // its account and froze before it answered; they were nobody's until now.
    const loans = new UnansweredLoans();
    loans.asked('a');
    expect(loans.lost('a')).toBe(0);
    expect(loans.recorded('a', 700)).toBe(700);
    expect(loans.recorded('a', 700)).toBe(0);
  });

  it('brings nothing by the record of a loan that was answered', () => {
    const loans = new UnansweredLoans();
    loans.asked('a');
    loans.answered('a');
    expect(loans.recorded('a', 700)).toBe(0);
  });

  it('waits for the end of the call where the record comes first', () => {
    // The lender's record is on the log before its answer arrives, or is lost.
    const loans = new UnansweredLoans();
    loans.asked('answered');
    loans.asked('lost');
    expect(loans.recorded('answered', 500)).toBe(0);
    expect(loans.recorded('lost', 700)).toBe(0);
    loans.answered('answered');
    expect(loans.recorded('answered', 500)).toBe(0);
    expect(loans.lost('lost')).toBe(700);
    expect(loans.recorded('lost', 700)).toBe(0);
  });

  it('takes a loan once whose answer comes after the call was given up', () => {
    // Guards against tokens that are nobody's, or two borrowers', after a late answer.
    const loans = new UnansweredLoans();
    loans.asked('answered first');
    loans.asked('recorded first');
    loans.lost('answered first');
    loans.lost('recorded first');
    expect(loans.answeredLate('answered first', 700)).toBe(700);
    expect(loans.recorded('answered first', 700)).toBe(0);
    expect(loans.recorded('recorded first', 500)).toBe(500);
    expect(loans.answeredLate('recorded first', 500)).toBe(0);
  });

  it('leaves nothing with nobody once the log has been read', () => {
    const fleet = new FleetModel(2, 10_000);
    fleet.write(0);
    fleet.write(1);
    fleet.ask(0, 4_000, 4_000, true);
    fleet.write(0);
    fleet.lend(0, 1, 2_000, true);
    expect(fleet.held).toBe(2_000);
    fleet.write(0);
    expect(fleet.held).toBe(4_000);
  });
});
