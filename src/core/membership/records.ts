/** Member records: order, merge and wire format. */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import type { MemberRecord, MemberStatus } from './types.ts'

const statuses: MemberStatus[] = ['alive', 'suspect', 'dead']

/** A record in wire format: node, domain, host, port, incarnation, index of the status, leaving. */
export type WireRecord = [string, string, string, number, number, number, boolean]

const wireRecordShape = z.tuple([
  z.string(), z.string(), z.string(), z.number(), z.number().int().nonnegative(), z.number().int().min(0).max(2), z.boolean()
])

const wireRecordsShape = z.array(wireRecordShape)

/** Converts a record to its wire format. */
export function toWire (record: MemberRecord): WireRecord {
  const { node, domain, host, port } = record.address
  return [node, domain, host, port, record.incarnation, statuses.indexOf(record.status), record.leaving]
}

/** Parses records in wire format; throws if the value has another shape. */
export function fromWire (value: unknown): MemberRecord[] {
  return wireRecordsShape.parse(value).map(([node, domain, host, port, incarnation, status, leaving]) => ({
    address: { node: toId(node), domain: toId(domain), host, port },
    incarnation,
    status: statuses[status]!,
    leaving
  }))
}

function isNewer (record: MemberRecord, known: MemberRecord): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation
  return statuses.indexOf(record.status) > statuses.indexOf(known.status)
}

/**
 * Merges two records into the least record that is as new as both. This is the join
 * of a semilattice, so nodes that received the same records agree, regardless of
 * order and duplicates. In SWIM (Das, Gupta, Motivala 2002, section 4.2) "confirm"
 * overrides every incarnation; here a higher incarnation overrides "dead", because a
 * node that was paused comes back with the same id.
 */
export function mergeRecords (known: MemberRecord | undefined, record: MemberRecord): MemberRecord {
  if (known === undefined) return record
  const winner = isNewer(record, known) ? record : known
  if (record.incarnation !== known.incarnation) return winner
  const leaving = known.leaving || record.leaving
  return leaving === winner.leaving ? winner : { ...winner, leaving }
}
