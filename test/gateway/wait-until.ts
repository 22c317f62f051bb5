/** Resolves once a condition holds. */
export function waitUntil (condition: () => boolean): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(() => {
      if (!condition()) return
      clearInterval(timer)
      resolve()
    }, 5)
  })
}
