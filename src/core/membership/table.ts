/** The members as this node knows them, and what it passes on of them. */
import { mergeRecords, toWire } from './records.ts'
import { createUpdateQueue } from './updates.ts'
import type { NodeId } from '../ids/index.ts'
import type { PeerAddress } from '../peers/types.ts'
import type { WireRecord } from './records.ts'
import type { MemberRecord } from './types.ts'

/** Most records that go along with one message. */
export const maxRecordsPerMessage = 8

/** Records of the whole table that go along when there are few changes, so that every view is repaired in time. */
const refreshRecordsPerMessage = 2

/** The table of one node. */
export interface MemberTable {
  self: () => MemberRecord
  get: (node: NodeId) => MemberRecord | undefined
  all: () => MemberRecord[]
  /** Takes records in; returns whether anything changed. */
  merge: (records: MemberRecord[]) => boolean
  /** The records to send to a peer: own, the one about the peer if it isn't alive, changes, some others in turn. */
  recordsFor: (peer: NodeId) => WireRecord[]
  forget: (node: NodeId) => void
  /** Marks this node as ended; it no longer refutes its death while its connections are still open. */
  end: () => MemberRecord
}

/** Options of a table. */
export interface MemberTableOptions {
  self: PeerAddress
  /** Incarnation to begin with. */
  incarnation: number
  onJoined: (record: MemberRecord) => void
  onDead: (record: MemberRecord) => void
  onRefuted: () => void
}

/** A table that knows only this node. */
export function createMemberTable (options: MemberTableOptions): MemberTable {
  const selfNode = options.self.node
  const records = new Map<NodeId, MemberRecord>()
  const updates = createUpdateQueue()
  let refreshAt = 0
  let hasEnded = false
  records.set(selfNode, { address: options.self, incarnation: options.incarnation, status: 'alive', leaving: false })

  function self (): MemberRecord {
    return records.get(selfNode)!
  }

  /** Answers a record that takes this node for suspect, dead or a former life of it with a higher incarnation. */
  function refute (record: MemberRecord): MemberRecord {
    if (hasEnded || record.incarnation < self().incarnation) return self()
    const leaving = self().leaving || (record.leaving && record.incarnation === self().incarnation)
    if (record.status === 'alive' && record.incarnation === self().incarnation) return { ...self(), leaving }
    options.onRefuted()
    return { ...self(), incarnation: record.incarnation + 1, leaving }
  }

  function mergeOne (record: MemberRecord): boolean {
    const node = record.address.node
    const known = records.get(node)
    const merged = node === selfNode ? refute(record) : mergeRecords(known, record)
    const isSame = known !== undefined && merged.incarnation === known.incarnation &&
      merged.status === known.status && merged.leaving === known.leaving
    if (isSame) return false
    records.set(node, merged)
    // A death of an unknown node isn't passed on, so that forgotten nodes don't go round for ever.
    if (known !== undefined || merged.status !== 'dead') updates.add(node)
    if (known === undefined) options.onJoined(merged)
    if (merged.status === 'dead' && known?.status !== 'dead') options.onDead(merged)
    return true
  }

  function nextRefreshed (): NodeId[] {
    const nodes = [...records.values()].filter(record => record.status !== 'dead').map(record => record.address.node)
    return Array.from({ length: refreshRecordsPerMessage }, () => nodes[refreshAt++ % nodes.length]!)
  }

  function recordsFor (peer: NodeId): WireRecord[] {
    const about = records.get(peer)
    const first = about !== undefined && about.status !== 'alive' ? [selfNode, peer] : [selfNode]
    const changed = updates.take(maxRecordsPerMessage - first.length, records.size)
    const chosen = new Set([...first, ...changed, ...nextRefreshed()])
    return [...chosen].slice(0, maxRecordsPerMessage).map(node => records.get(node)).filter(record => record !== undefined).map(toWire)
  }

  return {
    self,
    get: node => records.get(node),
    all: () => [...records.values()],
    merge: given => given.map(mergeOne).includes(true),
    recordsFor,
    forget: node => { if (node !== selfNode) records.delete(node) },
    end: () => {
      hasEnded = true
      const ended: MemberRecord = { ...self(), status: 'dead' }
      records.set(selfNode, ended)
      return ended
    }
  }
}
