/** Reads YAML documents into records and collects every fault with its line and key. */
package io.bilberrygrade.serving.document;
