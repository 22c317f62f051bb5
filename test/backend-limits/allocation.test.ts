/** The division of a backend server's limit among nodes. */
import test from 'ava'
import fc from 'fast-check'
import { allocateLimit } from '../../src/core/backend-limits/allocation.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { NodeId } from '../../src/core/ids/index.ts'

const idOf = (index: number) => toId<NodeId>(`node-${index}`)
const windowSeconds = 4

function nodesOf (count: number): NodeId[] {
  return Array.from({ length: count }, (_, index) => idOf(index))
}

/** Most requests that the holders of the shares can send in a window. */
function mostInWindow (perSecond: number, shares: ReturnType<typeof allocateLimit>): number {
  return [...shares.values()].reduce((sum, { ratio, burst }) => sum + burst + ratio * Math.max(0.1, perSecond) * windowSeconds, 0)
}

/** Requests that the users' rule allows in a window. */
function allowedInWindow (perSecond: number): number {
  return 1.5 * perSecond * windowSeconds + 5
}

test('the senders of one group together stay below what the rule allows, at every limit and number of nodes', t => {
  fc.assert(fc.property(
    fc.double({ min: 0, max: 1_000, noNaN: true }),
    fc.array(fc.double({ min: 0, max: 50, noNaN: true }), { minLength: 1, maxLength: 300 }),
    (perSecond, demands) => {
      const ranked = nodesOf(demands.length)
      const shares = allocateLimit({ perSecond, ranked, demands: new Map(demands.map((demand, index) => [idOf(index), demand])) })
      return mostInWindow(perSecond, shares) < allowedInWindow(perSecond)
    }
  ), { seed: 33 })
  t.pass()
})

test('the parts of a partition, however many, together stay below what the rule allows', t => {
  fc.assert(fc.property(
    fc.constantFrom(0.2, 1, 1.4, 10, 100),
    fc.array(fc.integer({ min: 0, max: 5 }), { minLength: 2, maxLength: 200 }),
    (perSecond, parts) => {
      const ranked = nodesOf(parts.length)
      let most = 0
      for (let part = 0; part <= 5; part += 1) {
        const members = ranked.filter((_, index) => parts[index] === part)
        most += mostInWindow(perSecond, allocateLimit({ perSecond, ranked, demands: new Map(members.map(node => [node, 1])) }))
      }
      return most < allowedInWindow(perSecond)
    }
  ), { seed: 33 })
  t.pass()
})

test('nodes that hear nobody do not all send, and one of them that is first in the order does', t => {
  const ranked = nodesOf(84)
  const holders = ranked.filter(node => allocateLimit({ perSecond: 1, ranked, demands: new Map([[node, 5]]) }).size > 0)
  t.deepEqual(holders, [idOf(0), idOf(1)])
})

test('while all nodes hear one another, the whole limit is used, by those that are asked for the service', t => {
  const ranked = nodesOf(9)
  const demands = new Map(ranked.map((node, index) => [node, index === 0 ? 0 : 3 + index]))
  for (const perSecond of [0.2, 1, 10, 100]) {
    const shares = allocateLimit({ perSecond, ranked, demands })
    t.false(shares.has(idOf(0)))
    const sum = [...shares.values()].reduce((total, { ratio }) => total + ratio, 0)
    t.true(Math.abs(sum - 1) < 1e-9)
  }
})

test('the part of nodes that are not heard is left to them', t => {
  const ranked = nodesOf(9)
  const shares = allocateLimit({ perSecond: 10, ranked, demands: new Map(ranked.slice(0, 6).map(node => [node, 1])) })
  const sum = [...shares.values()].reduce((total, { ratio }) => total + ratio, 0)
  t.true(Math.abs(sum - 6 / 9) < 1e-9)
})
