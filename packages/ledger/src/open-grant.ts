import type {GrantState} from '@wisteriadeal/schema';

import type {OrganisationBooks} from './organisation-books.js';
import {RefusalReason} from './verdict.js';

/** A grant that records may still change, or why the record is refused. */
export function openGrant(
  books: OrganisationBooks,
  grantId: string,
): GrantState | RefusalReason {
  const grant = books.grants.get(grantId);
  if (grant === undefined) {
    return RefusalReason.UnknownGrant;
  }
  return grant.closed ? RefusalReason.GrantClosed : grant;
}

/** Likewise, for records that only the grant's holder may write. */
export function heldGrant(
  books: OrganisationBooks,
  grantId: string,
  writer: string,
): GrantState | RefusalReason {
  const grant = openGrant(books, grantId);
  return typeof grant !== 'string' && grant.holder !== writer
    ? RefusalReason.NotHolder
    : grant;
}
