import test from 'ava'
import fc from 'fast-check'
import type { BackendId } from '../../src/core/ids/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createPrefixIndex } from '../../src/core/routing/prefix-index.ts'
import { createRendezvous, homeKey } from '../../src/core/routing/rendezvous.ts'
import { caseFile, fleetOf, hasher } from './fixtures.ts'

const a = toId<BackendId>('a')
const b = toId<BackendId>('b')

test('the index tells the longest leading run of blocks', t => {
  const index = createPrefixIndex(100)
  index.record(a, ['1', '2', '3'])
  index.record(b, ['1'])
  t.deepEqual([...index.held(['1', '2', '4'])], [[a, 2], [b, 1]])
})

test('a gap in the cache events drops trust in that backend server only', t => {
  const index = createPrefixIndex(100)
  index.record(b, ['1'])
  t.true(index.apply(a, [{ sequence: 1, kind: 'stored', blocks: ['1', '2'] }]))
  t.false(index.apply(a, [{ sequence: 3, kind: 'stored', blocks: ['9'] }]))
  t.deepEqual([...index.held(['1', '2'])], [[b, 1]])
  t.deepEqual([...index.held(['9'])], [[a, 1]])
})

test('late events that were applied before change nothing', t => {
  const index = createPrefixIndex(100)
  index.apply(a, [{ sequence: 1, kind: 'stored', blocks: ['1'] }, { sequence: 2, kind: 'removed', blocks: ['1'] }])
  t.true(index.apply(a, [{ sequence: 1, kind: 'stored', blocks: ['1'] }]))
  t.is(index.held(['1']).size, 0)
})

test('the index agrees with a plain model of the events when none is missing', t => {
  const events = fc.array(fc.record({
    backend: fc.constantFrom(a, b),
    kind: fc.constantFrom('stored', 'removed', 'cleared'),
    blocks: fc.uniqueArray(fc.constantFrom('1', '2', '3', '4'), { minLength: 1 })
  }), { maxLength: 40 })
  fc.assert(fc.property(events, list => {
    const index = createPrefixIndex(1000)
    const model = new Map<BackendId, Set<string>>([[a, new Set()], [b, new Set()]])
    for (const [position, { backend, kind, blocks }] of list.entries()) {
      const sequence = list.slice(0, position + 1).filter(event => event.backend === backend).length
      index.apply(backend, [{ sequence, kind, blocks }])
      const known = model.get(backend)
      if (kind === 'cleared') known?.clear()
      for (const block of blocks) {
        if (kind === 'stored') known?.add(block)
        if (kind === 'removed') known?.delete(block)
      }
    }
    return ['1', '2', '3', '4'].every(block => [a, b].every(backend => {
      return index.held([block]).has(backend) === model.get(backend)?.has(block)
    }))
  }), { seed: 20261203 })
  t.pass()
})

test('the index stays within its bound', t => {
  const index = createPrefixIndex(500)
  for (let file = 0; file < 50; file += 1) index.record(a, hasher.blocks(caseFile(file)).hashes)
  t.true(index.size() <= 500)
  t.true(index.held(hasher.blocks(caseFile(49)).hashes).size > 0)
})

test('equal prefixes have equal blocks and a change alters all that follow', t => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 31_999 }), position => {
    const before = hasher.blocks(caseFile(1))
    const text = caseFile(1)
    const after = hasher.blocks(`${text.slice(0, position)}#${text.slice(position + 1)}`)
    const changed = Math.floor(position / 256)
    return before.hashes.every((hash, index) => (hash === after.hashes[index]) === (index < changed))
  }), { seed: 20261203, numRuns: 50 })
  t.pass()
})

test('a backend server that goes moves only the prompts it was home of', t => {
  const rendezvous = createRendezvous(hasher)
  const backends = fleetOf(20)
  const rest = backends.slice(1)
  let moved = 0
  for (let file = 0; file < 400; file += 1) {
    const key = homeKey(hasher.blocks(caseFile(file))) ?? ''
    const [before] = rendezvous.rank(key, backends, 1)
    const [after] = rendezvous.rank(key, rest, 1)
    if (before !== after) {
      moved += 1
      t.is(before, backends[0])
    }
  }
  t.true(moved > 5 && moved < 50, `${moved} of 400`)
})
