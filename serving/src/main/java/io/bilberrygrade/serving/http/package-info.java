/** The callers' HTTP interface. */
package io.bilberrygrade.serving.http;
