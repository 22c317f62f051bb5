/** The bucket of one node's permits for a limited backend server. */
import test from 'ava'
import { createPermitBucket } from '../../src/core/backend-limits/permits.ts'

const top = 0

test('a bucket keeps the part that it began with until it has a rate, and loses its permits when the rate ends', t => {
  const bucket = createPermitBucket(0.75)
  bucket.setRate({ perSecond: 0, burst: 1 }, 0)
  bucket.setRate({ perSecond: 0, burst: 1 }, 500)
  bucket.setRate({ perSecond: 0.5, burst: 1 }, 1_000)
  t.is(bucket.waitMs(top, 1_000), 500)
  bucket.setRate({ perSecond: 0, burst: 1 }, 10_000)
  t.is(bucket.waitMs(top, 10_000), Infinity)
  bucket.setRate({ perSecond: 0.5, burst: 1 }, 11_000)
  t.is(bucket.waitMs(top, 11_000), 2_000)
})

test('a lower rate takes permits beyond its burst away, and a higher one gives none at once', t => {
  const bucket = createPermitBucket()
  bucket.setRate({ perSecond: 10, burst: 5 }, 0)
  bucket.setRate({ perSecond: 1, burst: 1 }, 10_000)
  bucket.take()
  t.is(bucket.waitMs(top, 10_000), 1_000)
  bucket.setRate({ perSecond: 10, burst: 5 }, 10_000)
  t.is(bucket.waitMs(top, 10_000), 100)
})
