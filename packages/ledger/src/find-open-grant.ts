import type {GrantState} from '@wisteriadeal/schema';

import type {OrganisationBooks} from './organisation-books.js';
import {RefusalReason} from './verdict.js';

/** Returns an open grant, or the reason to refuse a record that names it. */
export function findOpenGrant(
  books: OrganisationBooks,
  grantId: string,
): GrantState | RefusalReason {
  const grant = books.grants.get(grantId);
  if (grant === undefined) {
    return RefusalReason.UnknownGrant;
  }
  return grant.closed ? RefusalReason.GrantClosed : grant;
}

/**
 * Returns an open grant that the writer holds, or the reason to refuse the
 * record. Used for records that only the holder of a grant may write.
 */
export function findOpenGrantOfHolder(
  books: OrganisationBooks,
  grantId: string,
  writer: string,
): GrantState | RefusalReason {
  const grant = findOpenGrant(books, grantId);
  return typeof grant !== 'string' && grant.holder !== writer
    ? RefusalReason.NotHolder
    : grant;
}
