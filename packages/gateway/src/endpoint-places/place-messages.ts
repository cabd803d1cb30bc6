import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {Allotment, PlaceReport} from '@wisteriadeal/decisions';
import {
  SharedAllotmentSchema,
  SharedPlaceReportSchema,
  type SharedAllotment,
  type SharedPlaceReport,
} from '@wisteriadeal/schema';

/** What a host knows of a service whose endpoints are brittle. */
export interface BrittleKnowledge {
  readonly service: string;
  /** Age of the latest answer that said so, milliseconds; infinite if there was none. */
  readonly saidMillisecondsAgo: number;
}

/** A host's report, and what it knows. */
export interface ReportMessage {
  readonly report: PlaceReport;
  readonly news: BrittleKnowledge;
}

/** What a host may use, and what the host that divides knows. */
export interface AllotmentMessage {
  readonly allotment: Allotment;
  readonly news: BrittleKnowledge;
  /** Whether the hosts need more places than there are. */
  readonly isShort: boolean;
  /** Whether free places should be given back at once. */
  readonly isTight: boolean;
}

export function encodeReport({report, news}: ReportMessage): SharedPlaceReport {
  const {host, waiting, endpoints} = report;
  const message: MessageInitShape<typeof SharedPlaceReportSchema> = {
    news,
    host,
    waiting,
    endpoints: endpoints.map(use => ({...use})),
  };
  return create(SharedPlaceReportSchema, message);
}

export function decodeReport({
  news,
  host,
  waiting,
  endpoints,
}: SharedPlaceReport): ReportMessage {
  return {news: decodeNews(news), report: {host, waiting, endpoints}};
}

export function encodeAllotment({
  allotment,
  news,
  isShort,
  isTight,
}: AllotmentMessage): SharedAllotment {
  return create(SharedAllotmentSchema, {
    places: [...allotment].map(([endpoint, places]) => ({endpoint, places})),
    news,
    isShort,
    isTight,
  });
}

export function decodeAllotment({
  places,
  news,
  isShort,
  isTight,
}: SharedAllotment): AllotmentMessage {
  return {
    allotment: new Map(
      places.map(({endpoint, places: count}) => [endpoint, count]),
    ),
    news: decodeNews(news),
    isShort,
    isTight,
  };
}

function decodeNews(news: BrittleKnowledge | undefined): BrittleKnowledge {
  return {
    service: news?.service ?? '',
    saidMillisecondsAgo: news?.saidMillisecondsAgo ?? Infinity,
  };
}
