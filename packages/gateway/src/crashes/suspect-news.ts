import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {SubjectEvent, SuspectKnowledge} from '@wisteriadeal/decisions';
import {
  SuspectNewsSchema,
  type SharedSubjectEvent,
  type SuspectNews,
} from '@wisteriadeal/schema';

/** Encodes what a host knows of suspects, with ages in place of times. */
export function encodeNews(
  {crashes, tries, successes}: SuspectKnowledge,
  now: number,
): SuspectNews {
  const event = ({subject, at}: SubjectEvent) => ({
    subject,
    millisecondsAgo: now - at,
  });
  const news: MessageInitShape<typeof SuspectNewsSchema> = {
    crashes: crashes.map(({endpoint, at, subjects}) => ({
      endpoint,
      millisecondsAgo: now - at,
      subjects: [...subjects],
    })),
    tries: tries.map(event),
    successes: successes.map(event),
  };
  return create(SuspectNewsSchema, news);
}

/** Decodes what another host knows of suspects. */
export function decodeNews(
  {crashes, tries, successes}: SuspectNews,
  now: number,
): SuspectKnowledge {
  const event = ({subject, millisecondsAgo}: SharedSubjectEvent) => ({
    subject,
    at: now - millisecondsAgo,
  });
  return {
    crashes: crashes.map(({endpoint, millisecondsAgo, subjects}) => ({
      endpoint,
      at: now - millisecondsAgo,
      subjects,
    })),
    tries: tries.map(event),
    successes: successes.map(event),
  };
}
