/** Records of members: their order, their merge and their wire form. */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import type { MemberRecord, MemberStatus } from './types.ts'

const statuses: MemberStatus[] = ['alive', 'suspect', 'dead']

/** A record on the wire: node, domain, host, port, incarnation, index of the status, leaving. */
export type WireRecord = [string, string, string, number, number, number, boolean]

const wireRecordShape = z.tuple([
  z.string(), z.string(), z.string(), z.number(), z.number().int().nonnegative(), z.number().int().min(0).max(2), z.boolean()
])

const wireRecordsShape = z.array(wireRecordShape)

/** The wire form of a record. */
export function toWire (record: MemberRecord): WireRecord {
  const { node, domain, host, port } = record.address
  return [node, domain, host, port, record.incarnation, statuses.indexOf(record.status), record.leaving]
}

/** Reads records from the wire; throws on any other shape. */
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
 * The least record that is as new as both: a join, so that views which heard the
 * same records agree whatever their order and number. SWIM (Das, Gupta, Motivala
 * 2002, section 4.2) lets "confirm" override every incarnation; here a higher
 * incarnation overrides it, because a node that was frozen comes back with the same id.
 */
export function mergeRecords (known: MemberRecord | undefined, record: MemberRecord): MemberRecord {
  if (known === undefined) return record
  const winner = isNewer(record, known) ? record : known
  if (record.incarnation !== known.incarnation) return winner
  const leaving = known.leaving || record.leaving
  return leaving === winner.leaving ? winner : { ...winner, leaving }
}
