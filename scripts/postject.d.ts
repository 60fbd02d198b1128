declare module 'postject' {
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>
}
