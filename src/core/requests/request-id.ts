/**
 * Ids of requests name the node that admitted them, so that a caller's last
 * event id tells where to ask for its answer first.
 */
import { createId, toId } from '../ids/index.ts'
import type { AnyId, NodeId, RequestId } from '../ids/index.ts'

/** Makes the id of a request that this node admits. */
export function createRequestId (node: NodeId, nowMs: number): RequestId {
  const origin = Buffer.from(node, 'utf8').toString('hex')
  return toId<RequestId>(`req-${origin}-${createId<AnyId>('', nowMs).slice(1)}`)
}

/** The node that admitted a request; undefined when the id doesn't say. */
export function firstNodeOf (request: RequestId): NodeId | undefined {
  const match = /^req-((?:[0-9a-f]{2})+)-/.exec(request)
  return match === null ? undefined : toId<NodeId>(Buffer.from(match[1] ?? '', 'hex').toString('utf8'))
}
