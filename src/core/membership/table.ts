/** The table of member records, and the selection of records to send to peers. */
import { mergeRecords, toWire } from './records.ts'
import { createUpdateQueue } from './updates.ts'
import type { NodeId } from '../ids/index.ts'
import type { PeerAddress } from '../peers/types.ts'
import type { WireRecord } from './records.ts'
import type { MemberRecord } from './types.ts'

/** Maximum number of records in one message. */
export const maxRecordsPerMessage = 8

/** Number of unchanged records that are added if a message has room, in turn, so that differences between tables are eventually repaired. */
const refreshRecordsPerMessage = 2

/** The table of one node. */
export interface MemberTable {
  self: () => MemberRecord
  get: (node: NodeId) => MemberRecord | undefined
  all: () => MemberRecord[]
  /** Merges records into the table; returns whether anything changed. */
  merge: (records: MemberRecord[]) => boolean
  /** The records to send to a peer: this node's, the peer's if it isn't alive, changed ones, and some others in turn. */
  recordsFor: (peer: NodeId) => WireRecord[]
  remove: (node: NodeId) => void
  /** Marks this node as dead before it stops, so that it no longer refutes its death while connections are open. Returns its record. */
  markEnded: () => MemberRecord
}

/** Options of a table. */
export interface MemberTableOptions {
  self: PeerAddress
  /** Initial incarnation. */
  incarnation: number
  onJoined: (record: MemberRecord) => void
  onDead: (record: MemberRecord) => void
  onRefuted: () => void
}

/** Creates a table that contains only this node. */
export function createMemberTable (options: MemberTableOptions): MemberTable {
  const selfNode = options.self.node
  const records = new Map<NodeId, MemberRecord>()
  const updates = createUpdateQueue()
  let refreshIndex = 0
  let hasEnded = false
  records.set(selfNode, { address: options.self, incarnation: options.incarnation, status: 'alive', leaving: false })

  function self (): MemberRecord {
    return records.get(selfNode)!
  }

  /** Refutes a record that says this node is suspect or dead, or that comes from an earlier process with a later incarnation: increments the incarnation. */
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
    // The death of an unknown node isn't propagated, or records of removed nodes would circulate forever.
    if (known !== undefined || merged.status !== 'dead') updates.add(node)
    if (known === undefined) options.onJoined(merged)
    if (merged.status === 'dead' && known?.status !== 'dead') options.onDead(merged)
    return true
  }

  function nextRefreshNodes (): NodeId[] {
    const nodes = [...records.values()].filter(record => record.status !== 'dead').map(record => record.address.node)
    return Array.from({ length: refreshRecordsPerMessage }, () => nodes[refreshIndex++ % nodes.length]!)
  }

  function recordsFor (peer: NodeId): WireRecord[] {
    const peerRecord = records.get(peer)
    const first = peerRecord !== undefined && peerRecord.status !== 'alive' ? [selfNode, peer] : [selfNode]
    const changed = updates.take(maxRecordsPerMessage - first.length, records.size)
    const selected = new Set([...first, ...changed, ...nextRefreshNodes()])
    return [...selected].slice(0, maxRecordsPerMessage).map(node => records.get(node)).filter(record => record !== undefined).map(toWire)
  }

  return {
    self,
    get: node => records.get(node),
    all: () => [...records.values()],
    merge: received => received.map(mergeOne).includes(true),
    recordsFor,
    remove: node => { if (node !== selfNode) records.delete(node) },
    markEnded: () => {
      hasEnded = true
      const ended: MemberRecord = { ...self(), status: 'dead' }
      records.set(selfNode, ended)
      return ended
    }
  }
}
